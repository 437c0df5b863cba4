package attacher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"quetzalhub/accountant"
	"quetzalhub/allocator"
	"quetzalhub/balancer"
	"quetzalhub/beaconer"
	"quetzalhub/caller"
	"quetzalhub/confirmer"
	"quetzalhub/estimator"
	"quetzalhub/evacuator"
	"quetzalhub/fencer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/gossiper/udp"
	"quetzalhub/pacer"
	"quetzalhub/quarantiner"
	"quetzalhub/rationer"
	"quetzalhub/recorder"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/responder"
	"quetzalhub/schema"
	"quetzalhub/shedder"
	"quetzalhub/signer"
	"quetzalhub/supervisor"
	"quetzalhub/throttler"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
	"quetzalhub/util/meter"
	"quetzalhub/witness"
)

// Module provides the parts of an attached node and starts it. The
// application supplies *schema.Settings, *reporter.Reporter and *Platform.
var Module = fx.Module("attached",
	fx.Provide(
		recorder.New,
		fencer.New,
		witness.New,
		quarantiner.New,
		newDepartures,
		newEvacuator,
		newConfirmer,
		newCaller,
		newSupervisor,
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
	// beaconInterval is the time between two beacons in a small fleet. The free
	// capacity of an upstream changes within a few hundred milliseconds.
	beaconInterval = 200 * time.Millisecond
	// configMaxAge is how long a configuration may be used without the platform:
	// effectively without limit.
	configMaxAge = 1 << 60 * time.Nanosecond
	// attemptCheckInterval is the time without a response after which an attempt
	// is checked, first by the age of the node's last beacon.
	attemptCheckInterval = 200 * time.Millisecond
	// unackedTimeout closes connections between nodes whose data is not
	// acknowledged for this long. It tolerates a packet loss of a few percent.
	unackedTimeout = 900 * time.Millisecond
	// deadlineGrace is the time after the deadline within which an upstream may
	// still report by itself that the deadline has passed.
	deadlineGrace = 40 * time.Millisecond
	// maxFreeRetries is the number of nodes that may refuse a call before it
	// fails; retries after such refusals don't use the retry budget.
	maxFreeRetries = 2
)

func newConfirmer(s *schema.Settings) *confirmer.Confirmer {
	return confirmer.New(s.GetNode().GetDomain(), configMaxAge)
}

func newCaller(s *schema.Settings, c *confirmer.Confirmer) *caller.Caller {
	return caller.New(s.GetNode().GetName(), c, nil, nil)
}

// healthPaths reads health check paths, and how upstreams warm up, from the configuration.
type healthPaths struct {
	confirmer *confirmer.Confirmer
}

// Health returns the path of the health check of a service.
func (p healthPaths) Health(service string) (string, bool) {
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

// Warmup returns what the configuration says of the upstreams of a service after their
// start.
func (p healthPaths) Warmup(service string) supervisor.Warmup {
	snapshot := p.confirmer.Snapshot()
	if snapshot == nil {
		return supervisor.Warmup{}
	}
	for _, s := range snapshot.State.GetConfig().GetServices() {
		if s.GetName() == service {
			return supervisor.Warmup{Time: s.GetWarmup().AsDuration(), Intake: s.GetIntake()}
		}
	}
	return supervisor.Warmup{}
}

func newSupervisor(s *schema.Settings, p *Platform, c *confirmer.Confirmer, w *witness.Witness, r *reporter.Reporter) (*supervisor.Supervisor, *upstreamNotifier) {
	notifier := &upstreamNotifier{}
	upstream := s.GetUpstream()
	return supervisor.New(supervisor.Options{
		Service:  upstream.GetService(),
		Address:  upstream.GetAddress(),
		Interval: upstream.GetHeartbeat().AsDuration(),
		Prober:   p.NewProber(healthPaths{c}),
		Memory:   w,
		Reporter: r,
		Warmups:  healthPaths{c},
		Bound:    supervisor.Bound{Ratio: s.GetBounds().GetWarming(), Margin: s.GetBounds().GetMargin()},
		OnChange: notifier.announce,
	}), notifier
}

// upstreamNotifier passes changes of the upstream to the beaconer, which is
// created after the supervisor.
type upstreamNotifier struct {
	beaconer *beaconer.Beaconer
}

func (n *upstreamNotifier) announce() {
	if n.beaconer != nil {
		n.beaconer.Announce()
	}
}

func newTransport(s *schema.Settings, r *recorder.Recorder) (*udp.Transport, error) {
	var datagramSigner *signer.Signer
	if secret := s.GetGossip().GetSecret(); secret != "" {
		var err error
		if datagramSigner, err = signer.New(secret); err != nil {
			return nil, err
		}
	}
	return udp.Listen(s.GetNode().GetBeacon(), datagramSigner, r.Gossip)
}

// upstreamObserver passes the outcomes of requests at the upstream to the
// estimator and the recorder.
type upstreamObserver struct {
	*supervisor.Supervisor
	estimator *estimator.Estimator
	recorder  *recorder.Recorder
}

// RecordSuccess records the time in a slot and the calls of a successful request.
func (o *upstreamObserver) RecordSuccess(route string, slotTime time.Duration, calls, inferredCalls map[string]int) {
	o.estimator.RecordSuccess(route, slotTime, calls, inferredCalls)
	o.recorder.Upstream.Observe(slotTime)
}

// RecordFailure records the time in a slot and the calls of a failed request.
func (o *upstreamObserver) RecordFailure(route string, slotTime time.Duration, calls, inferredCalls map[string]int) {
	o.estimator.RecordFailure(route, slotTime, calls, inferredCalls)
}

// fleet holds the parts that exchange state with other nodes.
type fleet struct {
	estimator     *estimator.Estimator
	shedder       *shedder.Shedder
	beaconer      *beaconer.Beaconer
	balancer      *balancer.Balancer
	allocator     *allocator.Allocator
	configWatcher *configWatcher
	evacuations   *evacuationWatcher
}

// beaconSource provides the content of this node's beacons.
type beaconSource struct {
	supervisor *supervisor.Supervisor
	confirmer  *confirmer.Confirmer
	allocator  *allocator.Allocator
	estimator  *estimator.Estimator
	shedder    *shedder.Shedder
	witness    *witness.Witness
	// quarantiner provides the suspicions.
	quarantiner *quarantiner.Quarantiner
	evacuator   *evacuator.Evacuator
	role        *role
}

// Blind reports whether the calls of this node to the platform fail.
func (s *beaconSource) Blind() bool { return s.role.isBlind() }

// Evacuations returns what this node knows of evacuations.
func (s *beaconSource) Evacuations(all bool) ([]*schema.Evacuation, bool) {
	return s.evacuator.Records(all), all && s.evacuator.Told()
}

func (s *beaconSource) Suspicions() []*schema.Suspicion { return s.quarantiner.Suspicions() }

func (s *beaconSource) Remarks() []*schema.Remark   { return s.witness.Remarks() }
func (s *beaconSource) Inflows() []*schema.Inflow   { return s.shedder.Inflows() }
func (s *beaconSource) Profiles() []*schema.Profile { return s.estimator.Profiles() }

func (s *beaconSource) Usages() []*schema.Usage { return s.allocator.Usages() }
func (s *beaconSource) Version() uint64         { return s.confirmer.Version() }

// Endpoints returns the upstream if it accepts requests.
func (s *beaconSource) Endpoints() []*schema.Endpoint {
	if !s.evacuator.Accepts() {
		return nil
	}
	return s.supervisor.Endpoints()
}

// lateDirectory gives parts that are created before the beaconer access to it. The
// beaconer is set before these parts run.
type lateDirectory struct{ *beaconer.Beaconer }

func newFleet(s *schema.Settings, p *Platform, t *udp.Transport, st *supervisor.Supervisor, notifier *upstreamNotifier, c *confirmer.Confirmer, w *witness.Witness, q *quarantiner.Quarantiner, r *reporter.Reporter, cl *caller.Caller, ev *evacuator.Evacuator) *fleet {
	node := s.GetNode()
	self := &schema.Member{
		Name: node.GetName(), Address: node.GetPeers(), Admin: node.GetAdmin(), Beacon: node.GetBeacon(),
		Domain: node.GetDomain(), Region: node.GetRegion(), Status: schema.Status_STATUS_ALIVE,
		Incarnation: rand.Uint64(), Sequence: 1,
	}
	directory := &lateDirectory{}
	f := &fleet{configWatcher: newConfigWatcher(p.Source, c, r, cl, node.GetName(), func() *gossiper.View { return directory.View() })}
	f.balancer = balancer.New(directory, node.GetRegion(), balancer.ByCapacity(node.GetDomain()), balancer.WithMemory(w), balancer.WithDomains(ev))
	state := newEvacuation(ev, st, r)
	f.allocator = allocator.New(directory, c, cl, quotaAllowance(s), allocator.WithRetries(sharedRetries(s)))
	f.estimator = estimator.New(s.GetUpstream().GetService())
	f.shedder = shedder.New(directory, f.estimator, shedder.WithDomains(ev))
	f.beaconer = beaconer.New(self, t, &beaconSource{st, c, f.allocator, f.estimator, f.shedder, w, q, ev, f.configWatcher.role}, beaconInterval, f.configWatcher,
		&beaconListener{f.balancer, f.estimator, f.shedder, w, q, st, state, r})
	directory.Beaconer = f.beaconer
	f.evacuations = &evacuationWatcher{source: p.Evacuations, evacuation: state, view: f.beaconer.View, name: node.GetName(), watches: f.configWatcher.role.watches, announce: f.beaconer.Announce}
	f.configWatcher.onReset, f.configWatcher.role.announce = f.evacuations.reset, f.beaconer.Announce
	notifier.beaconer = f.beaconer
	cl.Attach(&beaconFleet{f.beaconer})
	return f
}

// counter returns a function that returns the counter of bytes for connections to an address. A
// node that is not known counts as one of another failure domain.
func (f *fleet) counter(rec *recorder.Recorder, kind string) meter.Counter {
	return func(address string) func(bytes int) {
		own := false
		name, _ := f.beaconer.Identity()
		view := f.beaconer.View()
		for _, m := range view.Members {
			if m.GetAddress() == address {
				own = m.GetDomain() == view.Members[name].GetDomain()
			}
		}
		return rec.CountPeerBytes(kind, own)
	}
}

// quotaAllowance reads how far usage may exceed a quota from the settings.
func quotaAllowance(s *schema.Settings) allocator.Allowance {
	b := s.GetBounds()
	return allocator.Allowance{Window: b.GetWindow().AsDuration(), Overage: b.GetOverage(), Slack: b.GetAllowance()}
}

// retryBudget reads the limit of extra attempts by retries from the settings.
func retryBudget(s *schema.Settings) throttler.Budget {
	b := s.GetBounds()
	return throttler.Budget{Ratio: b.GetRatio(), Slack: b.GetSlack(), Window: b.GetSpan().AsDuration()}
}

// sharedRetries returns the token bucket of the retry budget that all nodes share.
func sharedRetries(s *schema.Settings) allocator.Bucket {
	rate, size, initial := retryBudget(s).Shared()
	return allocator.Bucket{Rate: rate, Size: size, Initial: initial}
}

// beaconListener passes the load data in beacons of other nodes to the balancer,
// the estimator and the shedder, and the remarks to the witness.
type beaconListener struct {
	balancer  *balancer.Balancer
	estimator *estimator.Estimator
	shedder   *shedder.Shedder
	witness   *witness.Witness
	// quarantiner stores the suspicions.
	quarantiner *quarantiner.Quarantiner
	// supervisor applies the remarks about the upstream beside this node.
	supervisor *supervisor.Supervisor
	evacuation *evacuation
	reporter   *reporter.Reporter
}

// BeaconReceived records the load, profiles and inflows of another node.
func (l *beaconListener) BeaconReceived(from *schema.Member, b *schema.Beacon) {
	l.estimator.StoreProfiles(from.GetName(), b.GetProfiles())
	l.shedder.StoreInflows(from.GetName(), b.GetInflows())
	for _, e := range from.GetEndpoints() {
		l.balancer.RecordLoad(from, e)
	}
	l.quarantiner.Store(b.GetSuspicions())
	l.evacuation.store(from, b)
	if len(b.GetRemarks()) > 0 {
		l.witness.Store(b.GetRemarks())
		l.supervisor.Refresh()
	}
}

// NodeSilent logs that a node has stopped sending beacons.
func (l *beaconListener) NodeSilent(m *schema.Member) {
	l.reporter.Notice("node_silent", "peer", m.GetName(), "status", m.GetStatus().String())
}

// BeaconReduced logs that a beacon was sent without some of its content.
func (l *beaconListener) BeaconReduced(err error) {
	l.reporter.Event("beacon_reduced", "err", err)
}

// beaconFleet adapts the beaconer to the fleet interface of caller and responder.
type beaconFleet struct{ *beaconer.Beaconer }

// Merge does nothing, since beacons carry the member table.
func (beaconFleet) Merge([]*schema.Member) {}

// Push announces a new configuration to the other nodes.
func (f beaconFleet) Push() { f.Announce() }

// attemptChecker queries a node about an attempt only if its last beacon is too
// old to show that it is alive.
type attemptChecker struct {
	caller   *caller.Caller
	beaconer *beaconer.Beaconer
}

// beaconMaxAge is the age of its last beacon up to which a node counts as alive.
const beaconMaxAge = 500 * time.Millisecond

// checkTimeout bounds a query about an attempt.
const checkTimeout = 250 * time.Millisecond

// Check returns the progress of an attempt at a node.
func (c *attemptChecker) Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return c.caller.Check(ctx, address, req)
}

// Alive reports whether a node's last beacon is younger than beaconMaxAge.
func (c *attemptChecker) Alive(name string) bool {
	age, ok := c.beaconer.SinceLastBeacon(name)
	return ok && age < beaconMaxAge
}

// lastingState is a configuration that remains in use while the platform is down. A node
// that starts then has it from other nodes only, and never a confirmation by the platform.
type lastingState struct{ *confirmer.Confirmer }

// Fresh reports whether there is a configuration.
func (s lastingState) Fresh() bool { return s.Snapshot() != nil }

// closingUpstreams accepts no calls once the connections of other nodes are being closed, so
// that the node ends in time.
type closingUpstreams struct {
	forwarder.Upstreams
	closing atomic.Bool
}

// UpstreamFor returns the code Draining while connections are closed.
func (u *closingUpstreams) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	if u.closing.Load() {
		return forwarder.Upstream{}, refuser.Draining
	}
	return u.Upstreams.UpstreamFor(service)
}

// traffic holds the handlers of the request path.
type traffic struct {
	entry     *forwarder.Entry
	relay     *forwarder.Relay
	upstreams *closingUpstreams
	lifetime  *forwarder.Lifetime
	responder *responder.Responder
	rationer  *rationer.Rationer
	// refuser refuses requests of callers.
	refuser *refuser.Refuser
}

func newTraffic(s *schema.Settings, p *Platform, f *fleet, c *confirmer.Confirmer, cl *caller.Caller, st *supervisor.Supervisor, fence *fencer.Fencer, q *quarantiner.Quarantiner, dep *departures, rec *recorder.Recorder, rep *reporter.Reporter, ev *evacuator.Evacuator) *traffic {
	settings := s.GetTraffic()
	maxBodyBytes := int64(settings.GetBody())
	callerRefuser := refuser.New(rec.Refusals, refuser.WithStatus(p.RefusalStatus), refuser.WithFractionalRetryAfter())
	nodeRefuser := refuser.New(rec.PeerRefusals)
	requestTracker := &tracker.Tracker{Fanout: f.estimator.Fanout}
	account := accountant.New(int64(s.GetBounds().GetMemory()) << 20 * int64(settings.GetShare()) / 100)
	rec.Publish("bodies", func() any { return account.Usage() })
	rec.Publish("warmth", func() any { return st.Warmth() })
	cl.CountBytes(f.counter(rec, "control"))
	dispatcher := forwarder.NewDispatcher(forwarder.DispatcherOptions{
		Identity:       f.beaconer,
		Picker:         f.balancer,
		RetryThrottler: throttler.New(retryBudget(s), f.estimator, f.allocator),
		Checker:        &attemptChecker{cl, f.beaconer},
		Transport:      transporter.New(nil, transporter.UserTimeout(unackedTimeout), transporter.Count(f.counter(rec, "calls"))),
		CheckInterval:  attemptCheckInterval,
		RetryCounts:    rec.Retries,
		MaxFreeRetries: maxFreeRetries,
		Failover:       true,
		Quarantine:     q,
		Reporter:       rep,
		SlotTime:       f.estimator.SlotTime,
		State:          c,
	})
	evacuated := &evacuator.Upstreams{Upstreams: &recalledUpstreams{st, dep}, Evacuator: ev}
	upstreams := &closingUpstreams{Upstreams: evacuated}
	lifetime := &forwarder.Lifetime{}
	admission := rationer.New(rationer.Options{Fleet: f.beaconer, Costs: f.estimator, Shedder: f.shedder, Intake: configuredIntake(c), Reporter: rep})
	return &traffic{
		rationer:  admission,
		upstreams: upstreams,
		lifetime:  lifetime,
		refuser:   callerRefuser,
		entry: forwarder.NewEntry(forwarder.EntryOptions{
			DefaultTimeout: settings.GetDeadline().AsDuration(),
			RetryBudget:    settings.GetRetries(),
			MaxBodyBytes:   maxBodyBytes,
			KeptBytes:      int64(settings.GetKeep()),
			Accountant:     account,
			Pacer:          pacer.New(),
			Origin:         st,
			Dialect:        p.Dialect,
			State:          lastingState{c},
			Admitter:       f.allocator,
			Dispatcher:     dispatcher,
			Refuser:        callerRefuser,
			Parents:        requestTracker,
			Adviser:        retryAdviser{},
			LoadShedder:    admission,
			Lifetime:       lifetime,
			ObserveLatency: rec.Requests.Observe,
			Reporter:       rep,
		}),
		relay: forwarder.NewRelay(forwarder.RelayOptions{
			Identity:         f.beaconer,
			Upstreams:        upstreams,
			Barred:           evacuated.Barred,
			Lifetime:         lifetime,
			Fencer:           fence,
			Tracker:          requestTracker,
			Refuser:          nodeRefuser,
			Transport:        transporter.New(nil, transporter.Accept(p.IsResponseTo), transporter.OnReset(func(string) { st.IdleLost() })),
			MaxBodyBytes:     maxBodyBytes,
			Accountant:       account,
			Pacer:            pacer.New(),
			Dialect:          p.Dialect,
			State:            c,
			Region:           s.GetNode().GetRegion(),
			DeadlineGrace:    deadlineGrace,
			Observer:         &upstreamObserver{st, f.estimator, rec},
			ObserveQueueTime: rec.Queue.Observe,
			Quarantine:       q,
			OnCrash:          f.beaconer.Announce,
			SlotTime:         f.estimator.SlotTime,
			Reporter:         rep,
		}),
		responder: responder.New(responder.Dependencies{
			State: c, Fleet: &beaconFleet{f.beaconer}, Lender: f.allocator, Fencer: fence, CallerRefusals: callerRefuser, PeerRefusals: nodeRefuser,
		}),
	}
}
