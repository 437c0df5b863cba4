// Package server assembles a node from its parts and runs it.
//
// # Usage
//
//	fx.New(fx.Supply(settings), server.Module).Run()
//
// A node has four listeners: for callers, for other nodes (TCP for calls, UDP
// for gossip), for the upstream on the same host, and for operators.
package server

import (
	"cmp"
	"crypto/tls"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"quetzalhub/accountant"
	"quetzalhub/announcer"
	"quetzalhub/assigner"
	"quetzalhub/balancer"
	"quetzalhub/caller"
	"quetzalhub/certifier"
	"quetzalhub/confirmer"
	"quetzalhub/deduplicator"
	"quetzalhub/editor"
	"quetzalhub/evacuator"
	"quetzalhub/fencer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/gossiper/udp"
	"quetzalhub/guard"
	"quetzalhub/lender"
	"quetzalhub/limiter"
	"quetzalhub/naive"
	"quetzalhub/pacer"
	"quetzalhub/quarantiner"
	"quetzalhub/recorder"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/responder"
	"quetzalhub/schema"
	"quetzalhub/signer"
	"quetzalhub/storer"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
	"quetzalhub/watcher"
)

// Module provides the parts of a node and starts and stops the node with the
// application, which supplies *schema.Settings and *log.Logger.
var Module = fx.Module("node",
	fx.Provide(
		recorder.New,
		fencer.New,
		newSecurity,
		newConfirmer,
		newStore,
		newSelf,
		newTransport,
		newGossiper,
		newLender,
		newCaller,
		newLimiter,
		newAnnouncer,
		newEvacuator,
		newBalancer,
		newWatcher,
		newDeduplicator,
		newRefusers,
		newResponder,
		newTraffic,
		newNode,
	),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) {
		lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
	}),
)

// policyNaive is the value of the setting policy that selects package naive.
const policyNaive = "naive"

func newConfirmer(s *schema.Settings) *confirmer.Confirmer {
	return confirmer.New(s.GetNode().GetDomain(), s.GetGossip().GetFreshness().AsDuration())
}

func newStore(s *schema.Settings) storer.Store {
	return storer.NewHTTP(s.GetPlatform().GetAddress(), s.GetPlatform().GetTimeout().AsDuration())
}

// security authenticates connections. The certifier is nil if no certificate is
// configured; connections are then unencrypted, for trials only.
type security struct {
	certifier *certifier.Certifier
}

func newSecurity(s *schema.Settings) (*security, error) {
	t := s.GetTls()
	if t.GetCertificate() == "" && t.GetKey() == "" && t.GetAuthority() == "" {
		return &security{}, nil
	}
	c, err := certifier.New(t.GetCertificate(), t.GetKey(), t.GetAuthority())
	return &security{c}, err
}

// client returns the TLS configuration for calls to other nodes, or nil if they
// are unencrypted.
func (s *security) client() *tls.Config {
	if s.certifier == nil {
		return nil
	}
	return s.certifier.Client()
}

// wrap returns a TLS listener to which only the given roles may connect. It
// returns l itself without roles or without a certifier.
func (s *security) wrap(l net.Listener, roles ...certifier.Role) net.Listener {
	if s.certifier == nil || len(roles) == 0 {
		return l
	}
	return tls.NewListener(l, s.certifier.Server(roles...))
}

func newSelf(s *schema.Settings) *schema.Member {
	return &schema.Member{
		Name:        s.GetNode().GetName(),
		Address:     s.GetNode().GetPeers(),
		Admin:       s.GetNode().GetAdmin(),
		Domain:      s.GetNode().GetDomain(),
		Region:      s.GetNode().GetRegion(),
		Incarnation: uint64(time.Now().UnixMilli()),
		Sequence:    1,
		Status:      schema.Status_STATUS_ALIVE,
	}
}

func newTransport(s *schema.Settings, r *recorder.Recorder) (*udp.Transport, error) {
	datagramSigner, err := signer.New(s.GetGossip().GetSecret())
	if err != nil {
		return nil, err
	}
	return udp.Listen(s.GetNode().GetPeers(), datagramSigner, r.Gossip)
}

func newGossiper(s *schema.Settings, self *schema.Member, t *udp.Transport, c *confirmer.Confirmer, p *caller.Caller) *gossiper.Gossiper {
	g := gossiper.New(self, t, c, p,
		gossiper.Interval(s.GetGossip().GetInterval().AsDuration()),
		gossiper.Suspicion(s.GetGossip().GetSuspicion().AsDuration()),
	)
	p.Attach(g)
	return g
}

func newLender(s *schema.Settings, i *identity, c *confirmer.Confirmer) *lender.Lender {
	return lender.New(i, c, s.GetGossip().GetFreshness().AsDuration())
}

func newCaller(s *schema.Settings, c *confirmer.Confirmer, sec *security) (*caller.Caller, *identity, *localLender) {
	local := &localLender{}
	return caller.New(s.GetNode().GetName(), c, local, sec.client()), &identity{}, local
}

func newLimiter(i *identity, local *localLender, l *lender.Lender, g *gossiper.Gossiper, c *confirmer.Confirmer, p *caller.Caller) *limiter.Limiter {
	i.gossiper = g
	local.lender = l
	return limiter.New(i, c, p)
}

func newAnnouncer(s *schema.Settings, g *gossiper.Gossiper) *announcer.Announcer {
	settings := s.GetGuard()
	return announcer.New(g, func() forwarder.ConcurrencyLimiter {
		if s.GetNode().GetPolicy() == policyNaive {
			return naive.NewConcurrencyLimiter(int(settings.GetLimit()))
		}
		return guard.New(
			guard.InitialLimit(int(settings.GetStart())),
			guard.MaxLimit(int(settings.GetLimit())),
			guard.TargetDelay(settings.GetDelay().AsDuration()),
		)
	})
}

// defaultEvacuation is the time within which an evacuation binds if the settings give none:
// a configuration with evacuated domains must not be without effect.
const defaultEvacuation = 5 * time.Second

// newEvacuator returns an evacuator that follows the configuration.
func newEvacuator(s *schema.Settings, c *confirmer.Confirmer) *evacuator.Evacuator {
	bound := cmp.Or(s.GetBounds().GetEvacuation().AsDuration(), defaultEvacuation)
	e := evacuator.New(s.GetNode().GetDomain(), bound)
	c.OnChange(func(change confirmer.Change) {
		age := time.Duration(0)
		if change.Old == nil {
			// What a node finds at its start may have been in force for any time.
			age = bound
		}
		e.List(evacuator.Position{Revision: change.New.Version()}, change.New.State.GetConfig().GetEvacuated(), true, age)
	})
	return e
}

func newBalancer(s *schema.Settings, g *gossiper.Gossiper, e *evacuator.Evacuator) *balancer.Balancer {
	return balancer.New(g, s.GetNode().GetRegion(), balancer.WithDomains(e))
}

func newWatcher(s *schema.Settings, store storer.Store, c *confirmer.Confirmer, g *gossiper.Gossiper, logger *log.Logger) *watcher.Watcher {
	node := s.GetNode()
	edit := editor.New(store, "node "+node.GetName())
	return watcher.New(watcher.Options{
		Store:     store,
		Confirmer: c,
		Fleet:     g,
		Assigner:  assigner.New(edit, g),
		Restorer:  edit,
		Logger:    logger,
		Name:      node.GetName(),
		Address:   node.GetPeers(),
		Domain:    node.GetDomain(),
		Poll:      s.GetPlatform().GetPoll().AsDuration(),
	})
}

func newDeduplicator(g *gossiper.Gossiper, c *confirmer.Confirmer) *deduplicator.Deduplicator {
	return deduplicator.New(g, c)
}

func newResponder(c *confirmer.Confirmer, g *gossiper.Gossiper, l *lender.Lender, f *fencer.Fencer, d *deduplicator.Deduplicator, r *refusers) *responder.Responder {
	return responder.New(responder.Dependencies{
		State: c, Fleet: g, Lender: l, Fencer: f, IdempotencyStore: d, CallerRefusals: r.callers, PeerRefusals: r.nodes,
	})
}

// refusers write refusals: callers those to callers and upstreams, nodes those to
// other nodes.
type refusers struct {
	callers *refuser.Refuser
	nodes   *refuser.Refuser
}

func newRefusers(r *recorder.Recorder) *refusers {
	return &refusers{callers: refuser.New(r.Refusals), nodes: refuser.New(r.PeerRefusals)}
}

// traffic holds the handlers of the request path.
type traffic struct {
	entry  *forwarder.Entry
	relay  *forwarder.Relay
	egress *forwarder.Egress
	// refuser refuses requests of callers.
	refuser *refuser.Refuser
}

// trafficParts are the parts that the handlers of the request path use.
type trafficParts struct {
	fx.In

	Settings  *schema.Settings
	Security  *security
	Recorder  *recorder.Recorder
	Confirmer *confirmer.Confirmer
	Gossiper  *gossiper.Gossiper
	Limiter   *limiter.Limiter
	Caller    *caller.Caller
	Announcer *announcer.Announcer
	Balancer  *balancer.Balancer
	Evacuator *evacuator.Evacuator
	Fencer    *fencer.Fencer
	Keys      *deduplicator.Deduplicator
	Refusers  *refusers
}

func newTraffic(p trafficParts) *traffic {
	settings := p.Settings.GetTraffic()
	quarantine := quarantiner.New()
	options := forwarder.DispatcherOptions{
		Quarantine:     quarantine,
		Identity:       p.Gossiper,
		Picker:         p.Balancer,
		RetryThrottler: tracker.NewThrottle(),
		Checker:        p.Caller,
		Transport:      transporter.New(p.Security.client()),
		CheckInterval:  settings.GetCheck().AsDuration(),
		RetryCounts:    p.Recorder.Retries,
		Reporter:       reporter.Discard{},
		State:          p.Confirmer,
	}
	var admitter forwarder.Admitter = p.Limiter
	if p.Settings.GetNode().GetPolicy() == policyNaive {
		options.Picker = naive.NewPicker(p.Gossiper)
		options.RetryThrottler = naive.RetryThrottler{}
		options.RetriesPerCall = naive.RetriesPerCall
		admitter = naive.NewAdmitter(p.Confirmer, p.Gossiper)
	}
	body := int64(settings.GetBody())
	dispatcher := forwarder.NewDispatcher(options)
	refusals := p.Refusers.callers
	active := &tracker.Tracker{}
	account := accountant.New(int64(p.Settings.GetBounds().GetMemory()) << 20 * int64(settings.GetShare()) / 100)
	p.Recorder.Publish("bodies", func() any { return account.Usage() })
	p.Recorder.Publish("evacuations", func() any { return p.Evacuator.States() })
	upstreams := &evacuator.Upstreams{Upstreams: p.Announcer, Evacuator: p.Evacuator}
	entry := forwarder.EntryOptions{
		DefaultTimeout:   settings.GetDeadline().AsDuration(),
		RetryBudget:      settings.GetRetries(),
		MaxBodyBytes:     body,
		KeptBytes:        int64(settings.GetKeep()),
		Accountant:       account,
		Pacer:            pacer.New(),
		Dialect:          forwarder.Native{},
		State:            p.Confirmer,
		Admitter:         admitter,
		Dispatcher:       dispatcher,
		IdempotencyStore: &keyOwners{p.Keys, p.Caller},
		Refuser:          refusals,
		Reporter:         reporter.Discard{},
	}
	return &traffic{
		refuser: refusals,
		entry:   forwarder.NewEntry(entry),
		egress: forwarder.NewEgress(forwarder.EgressOptions{
			State: p.Confirmer, Tracker: active, Dispatcher: dispatcher, Refuser: refusals,
			MaxBodyBytes: body, KeptBytes: int64(settings.GetKeep()), Accountant: account, Pacer: pacer.New(),
		}),
		relay: forwarder.NewRelay(forwarder.RelayOptions{
			Identity:     p.Gossiper,
			Upstreams:    upstreams,
			Barred:       upstreams.Barred,
			Fencer:       p.Fencer,
			Tracker:      active,
			Refuser:      p.Refusers.nodes,
			Transport:    transporter.New(nil, transporter.Accept(forwarder.Native{}.MatchesRequest)),
			MaxBodyBytes: body,
			Accountant:   account,
			Pacer:        pacer.New(),
			Dialect:      forwarder.Native{},
			State:        p.Confirmer,
			Region:       p.Settings.GetNode().GetRegion(),
			Quarantine:   quarantine,
			Reporter:     reporter.Discard{},
		}),
	}
}
