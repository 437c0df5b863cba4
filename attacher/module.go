package attacher

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"quetzalhub/balancer"
	"quetzalhub/beaconer"
	"quetzalhub/caller"
	"quetzalhub/confirmer"
	"quetzalhub/divider"
	"quetzalhub/fencer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper/udp"
	"quetzalhub/profiler"
	"quetzalhub/rationer"
	"quetzalhub/recorder"
	"quetzalhub/refuser"
	"quetzalhub/regulator"
	"quetzalhub/reporter"
	"quetzalhub/responder"
	"quetzalhub/schema"
	"quetzalhub/sealer"
	"quetzalhub/steward"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
)

// Module provides the parts of an attached node and starts it. The
// application supplies *schema.Settings, *reporter.Reporter and *Platform.
var Module = fx.Module("attached",
	fx.Provide(
		recorder.New,
		fencer.New,
		newState,
		newCaller,
		newSteward,
		newTransport,
		newFleet,
		newTraffic,
		newNode,
	),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) {
		lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
	}),
)

const (
	// beaconInterval is the time between two beacons of a small fleet. Room at
	// an upstream changes within some hundred milliseconds.
	beaconInterval = 200 * time.Millisecond
	// trusted is the time for which a configuration may be used without the
	// platform: as long as the node lives.
	trusted = 1 << 60 * time.Nanosecond
	// patience is the time without an answer after which an attempt is looked
	// after; the node's beacons are looked at first.
	patience = 200 * time.Millisecond
	// silentAfter ends connections between nodes on which nothing is
	// acknowledged; some packets in a hundred may be lost.
	silentAfter = 900 * time.Millisecond
	// margin is the time after its deadline for which an upstream is given to
	// say by itself that the deadline has passed.
	margin = 40 * time.Millisecond
	// passes is the number of nodes that may turn a call away before it is
	// given up.
	passes = 2
)

func newState(s *schema.Settings) *confirmer.Confirmer {
	return confirmer.New(s.GetNode().GetDomain(), trusted)
}

func newCaller(s *schema.Settings, c *confirmer.Confirmer) *caller.Caller {
	return caller.New(s.GetNode().GetName(), c, nil, nil)
}

// paths gives the health checks of the configuration.
type paths struct {
	confirmer *confirmer.Confirmer
}

// Health returns the path of the health check of a service.
func (p paths) Health(service string) (string, bool) {
	snapshot := p.confirmer.Snapshot()
	if snapshot == nil {
		return "", false
	}
	for _, s := range snapshot.State.GetConfig().GetServices() {
		if s.GetName() == service && s.GetHealth() != "" {
			return s.GetHealth(), true
		}
	}
	return "", false
}

func newSteward(s *schema.Settings, p *Platform, c *confirmer.Confirmer, r *reporter.Reporter) (*steward.Steward, *changes) {
	ch := &changes{}
	upstream := s.GetUpstream()
	return steward.New(steward.Options{
		Service:  upstream.GetService(),
		Address:  upstream.GetAddress(),
		Interval: upstream.GetHeartbeat().AsDuration(),
		Prober:   p.Prober(paths{c}),
		Reporter: r,
		OnChange: ch.changed,
	}), ch
}

// changes passes on that the upstream changed, to parts made later.
type changes struct {
	beaconer *beaconer.Beaconer
}

func (c *changes) changed() {
	if c.beaconer != nil {
		c.beaconer.Announce()
	}
}

func newTransport(s *schema.Settings, r *recorder.Recorder) (*udp.Transport, error) {
	var seal *sealer.Sealer
	if secret := s.GetGossip().GetSecret(); secret != "" {
		var err error
		if seal, err = sealer.New(secret); err != nil {
			return nil, err
		}
	}
	return udp.Listen(s.GetNode().GetBeacon(), seal, r.Gossip)
}

// watcher tells the steward and the profiler how the upstream answers.
type watcher struct {
	*steward.Steward
	profiler *profiler.Profiler
	recorder *recorder.Recorder
}

// RecordSuccess learns what a request took.
func (w *watcher) RecordSuccess(route string, busy time.Duration, calls, guesses map[string]int) {
	w.profiler.RecordSuccess(route, busy, calls, guesses)
	w.recorder.Upstream.Observe(busy)
}

// RecordFailure learns what a request took that did not succeed.
func (w *watcher) RecordFailure(route string, busy time.Duration, calls, guesses map[string]int) {
	w.profiler.RecordFailure(route, busy, calls, guesses)
}

// fleet is what a node knows of the others.
type fleet struct {
	profiler  *profiler.Profiler
	regulator *regulator.Regulator
	beaconer  *beaconer.Beaconer
	balancer  *balancer.Balancer
	divider   *divider.Divider
	follower  *follower
}

// source tells what this node says in its beacons.
type source struct {
	steward   *steward.Steward
	confirmer *confirmer.Confirmer
	divider   *divider.Divider
	profiler  *profiler.Profiler
	regulator *regulator.Regulator
}

func (s *source) Inflows() []*schema.Inflow   { return s.regulator.Inflows() }
func (s *source) Profiles() []*schema.Profile { return s.profiler.Profiles() }

func (s *source) Endpoints() []*schema.Endpoint { return s.steward.Endpoints() }
func (s *source) Usages() []*schema.Usage       { return s.divider.Usages() }
func (s *source) Version() uint64               { return s.confirmer.Version() }

// directoryOf gives the balancer its directory before the beaconer is made.
type directoryOf struct{ *beaconer.Beaconer }

func newFleet(s *schema.Settings, p *Platform, t *udp.Transport, st *steward.Steward, ch *changes, c *confirmer.Confirmer, r *reporter.Reporter, cl *caller.Caller) *fleet {
	node := s.GetNode()
	self := &schema.Member{
		Name: node.GetName(), Address: node.GetPeers(), Admin: node.GetAdmin(), Beacon: node.GetBeacon(),
		Domain: node.GetDomain(), Region: node.GetRegion(), Status: schema.Status_STATUS_ALIVE,
		Incarnation: rand.Uint64(), Sequence: 1,
	}
	directory := &directoryOf{}
	f := &fleet{follower: newFollower(p.Source, c, r, cl, func() int { return directory.View().LiveCount() })}
	f.balancer = balancer.New(directory, node.GetRegion(), balancer.ByCapacity(node.GetDomain()))
	f.divider = divider.New(directory, c, cl, allowance(s))
	f.profiler = profiler.New(s.GetUpstream().GetService())
	f.regulator = regulator.New(directory, f.profiler)
	f.beaconer = beaconer.New(self, t, &source{st, c, f.divider, f.profiler, f.regulator}, beaconInterval, f.follower, &loads{f.balancer, f.profiler, f.regulator, r})
	directory.Beaconer = f.beaconer
	ch.beaconer = f.beaconer
	cl.Attach(&pulls{f.beaconer})
	return f
}

// allowance reads what operators accept beyond a rate.
func allowance(s *schema.Settings) divider.Allowance {
	b := s.GetBounds()
	return divider.Allowance{Window: b.GetWindow().AsDuration(), Overage: b.GetOverage(), Slack: float64(b.GetAllowance())}
}

// ration reads what operators accept of extra arrivals.
func ration(s *schema.Settings) rationer.Budget {
	b := s.GetBounds()
	return rationer.Budget{Ratio: b.GetRatio(), Slack: float64(b.GetSlack()), Window: b.GetSpan().AsDuration()}
}

// loads hands what other nodes tell of load to those who decide by it.
type loads struct {
	balancer  *balancer.Balancer
	profiler  *profiler.Profiler
	regulator *regulator.Regulator
	reporter  *reporter.Reporter
}

// BeaconReceived takes in the load of an upstream and what callers ask.
func (l *loads) BeaconReceived(from *schema.Member, b *schema.Beacon) {
	l.profiler.StoreProfiles(from.GetName(), b.GetProfiles())
	l.regulator.StoreInflows(from.GetName(), b.GetInflows())
	for _, e := range from.GetEndpoints() {
		l.balancer.RecordLoad(from, e)
	}
}

// NodeSilent notes that a node fell silent.
func (l *loads) NodeSilent(m *schema.Member) {
	l.reporter.Notice("node_silent", "peer", m.GetName(), "status", m.GetStatus().String())
}

// pulls lets the caller fetch the configuration from other nodes.
type pulls struct{ *beaconer.Beaconer }

// Merge does nothing: beacons carry the table.
func (pulls) Merge([]*schema.Member) {}

// Push tells the others of a new configuration.
func (p pulls) Push() { p.Announce() }

// checker asks about attempts only where the node's beacons leave doubt.
type checker struct {
	caller   *caller.Caller
	beaconer *beaconer.Beaconer
}

// beaconTrust is the age of a beacon up to which its node counts as alive.
const beaconTrust = 500 * time.Millisecond

// checkTimeout bounds a question about an attempt.
const checkTimeout = 250 * time.Millisecond

// Check tells what became of an attempt.
func (c *checker) Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return c.caller.Check(ctx, address, req)
}

// Alive tells whether a node was heard from just now.
func (c *checker) Alive(name string) bool {
	age, ok := c.beaconer.SinceLastBeacon(name)
	return ok && age < beaconTrust
}

// traffic holds the handlers of the request path.
type traffic struct {
	entry     *forwarder.Entry
	relay     *forwarder.Relay
	responder *responder.Responder
}

func newTraffic(s *schema.Settings, p *Platform, f *fleet, c *confirmer.Confirmer, cl *caller.Caller, st *steward.Steward, fence *fencer.Fencer, rec *recorder.Recorder, rep *reporter.Reporter) *traffic {
	settings := s.GetTraffic()
	body := int64(settings.GetBody())
	callers := refuser.New(rec.Refusals, refuser.WithStatus(p.Status), refuser.WithFractionalRetryAfter())
	nodes := refuser.New(rec.PeerRefusals)
	active := &tracker.Tracker{Fanout: f.profiler.Fanout}
	dispatcher := forwarder.NewDispatcher(forwarder.DispatcherOptions{
		Identity:       f.beaconer,
		Picker:         f.balancer,
		RetryThrottler: rationer.New(ration(s), f.profiler, func() int { return f.beaconer.View().LiveCount() }),
		Checker:        &checker{cl, f.beaconer},
		Transport:      transporter.New(nil, transporter.UserTimeout(silentAfter)),
		CheckInterval:  patience,
		RetryCounts:    rec.Retries,
		MaxFreeRetries: passes,
		Failover:       true,
		Reporter:       rep,
	})
	return &traffic{
		entry: forwarder.NewEntry(forwarder.EntryOptions{
			DefaultTimeout: settings.GetDeadline().AsDuration(),
			RetryBudget:    settings.GetRetries(),
			MaxBodyBytes:   body,
			Service:        s.GetUpstream().GetService(),
			Dialect:        p.Dialect,
			State:          c,
			Admitter:       f.divider,
			Dispatcher:     dispatcher,
			Refuser:        callers,
			Parents:        active,
			Adviser:        adviser{},
			LoadShedder:    f.regulator,
			ObserveLatency: rec.Requests.Observe,
			Reporter:       rep,
		}),
		relay: forwarder.NewRelay(forwarder.RelayOptions{
			Identity:         f.beaconer,
			Upstreams:        st,
			Fencer:           fence,
			Tracker:          active,
			Refuser:          nodes,
			Transport:        transporter.New(nil, transporter.Accept(p.Belongs)),
			MaxBodyBytes:     body,
			Dialect:          p.Dialect,
			DeadlineGrace:    margin,
			Observer:         &watcher{st, f.profiler, rec},
			ObserveQueueTime: rec.Queue.Observe,
			Reporter:         rep,
		}),
		responder: responder.New(responder.Dependencies{
			State: c, Fleet: &pulls{f.beaconer}, Lender: f.divider, Fencer: fence, CallerRefusals: callers, PeerRefusals: nodes,
		}),
	}
}
