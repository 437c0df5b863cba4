package attacher

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"quetzalhub/caller"
	"quetzalhub/confirmer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper/udp"
	"quetzalhub/recorder"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/steward"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends its headers.
	readHeaderTimeout = 10 * time.Second
	// leaveShare, quietShare and endShare divide the grace of a planned stop:
	// callers learn that the node is not ready, other nodes stop sending work,
	// what runs ends.
	leaveShare = 0.35
	quietShare = 0.55
	endShare   = 0.85
	// idleLook is the time between two looks whether work has ended.
	idleLook = 50 * time.Millisecond
	// delistTimeout bounds the removal from the directory.
	delistTimeout = 300 * time.Millisecond
)

// Node is a running node.
type Node struct {
	parts    nodeParts
	cancel   context.CancelFunc
	group    sync.WaitGroup
	stopping atomic.Bool
	callers  *http.Server
	keeper   *keeper
	others   []*http.Server
}

// nodeParts are what a node is made of.
type nodeParts struct {
	fx.In

	Settings  *schema.Settings
	Path      Path
	Platform  *Platform
	Reporter  *reporter.Reporter
	Recorder  *recorder.Recorder
	Confirmer *confirmer.Confirmer
	Transport *udp.Transport
	Steward   *steward.Steward
	Caller    *caller.Caller
	Fleet     *fleet
	Traffic   *traffic
}

func newNode(p nodeParts) *Node {
	n := &Node{parts: p, keeper: newKeeper(p.Settings.GetBounds().GetFiles(), idleLimit(p.Confirmer))}
	p.Recorder.Publish("state_version", func() any { return p.Confirmer.Version() })
	p.Recorder.Publish("members_live", func() any { return p.Fleet.beaconer.View().LiveCount() })
	p.Recorder.Publish("upstream", func() any { return p.Steward.Endpoints() })
	p.Recorder.Publish("shares", func() any { return p.Fleet.regulator.Shares() })
	p.Recorder.Publish("log_lines_dropped", func() any { return p.Reporter.Dropped() })
	p.Recorder.Publish("caller_connections", func() any { return n.keeper.count() })
	return n
}

// Start opens the listeners and starts the loops.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return errors.Trace(err)
	}
	p, node := n.parts, n.parts.Settings.GetNode()
	enroller := &enroller{p.Platform.Directory, p.Fleet.beaconer, p.Reporter, Entry{node.GetName(), node.GetBeacon()}}
	reload := &reloader{p.Settings, p.Path, p.Reporter}
	loops := []func(context.Context){
		reload.run, n.keeper.run,
		p.Reporter.Run, p.Fleet.beaconer.Run, p.Fleet.balancer.Run, p.Fleet.regulator.Run, p.Fleet.follower.run, p.Caller.Run, p.Steward.Run, enroller.run,
	}
	for _, loop := range loops {
		n.group.Go(func() { loop(ctx) })
	}
	n.group.Go(func() { p.Transport.Run(p.Fleet.beaconer.Receive) })
	p.Reporter.Notice("started", "domain", node.GetDomain(), "callers", node.GetCallers(), "peers", node.GetPeers(),
		"beacon", node.GetBeacon(), "service", p.Settings.GetUpstream().GetService())
	return nil
}

func (n *Node) listen() error {
	p, node := n.parts, n.parts.Settings.GetNode()
	ready := func() bool { return p.Confirmer.Snapshot() != nil && !n.stopping.Load() }
	n.callers = &http.Server{Handler: n.closing(p.Traffic.entry), ConnState: n.keeper.watch}
	listeners := []struct {
		address string
		server  *http.Server
	}{
		{node.GetPeers(), &http.Server{Handler: n.peerHandler()}},
		{node.GetLocal(), &http.Server{Handler: p.Platform.Reports(p.Steward, p.Reporter)}},
		{node.GetAdmin(), &http.Server{Handler: p.Platform.Readiness(ready, n.adminHandler())}},
		{node.GetCallers(), n.callers},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", l.address)
		}
		l.server.ReadHeaderTimeout = readHeaderTimeout
		l.server.ErrorLog = stdlog.New(io.Discard, "", 0)
		if l.server != n.callers {
			n.others = append(n.others, l.server)
		}
		n.group.Go(func() { n.serve(l.server, listener) })
	}
	return nil
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.parts.Reporter.Notice("listener_lost", "address", l.Addr().String(), "err", err)
	}
}

// idleLimit reads the time for which callers' connections may stay idle from
// the configuration in force.
func idleLimit(c *confirmer.Confirmer) func() time.Duration {
	return func() time.Duration {
		if snapshot := c.Snapshot(); snapshot != nil {
			return snapshot.State.GetConfig().GetLimits().GetIdle().AsDuration()
		}
		return 0
	}
}

// closing asks callers to close their connections while the node stops, and
// while there are too many.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() || n.keeper.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// peerHandler tells calls on behalf of callers from control calls by the
// envelope, since the paths of the former are the callers' own.
func (n *Node) peerHandler() http.Handler {
	control := schema.NewPeerServer(n.parts.Traffic.responder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwarder.HeaderEnvelope) != "" {
			n.parts.Traffic.relay.ServeHTTP(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
}

func (n *Node) adminHandler() http.Handler {
	admin := schema.NewAdminServer(n.parts.Traffic.responder)
	r := mux.NewRouter()
	r.Handle("/debug/vars", n.parts.Recorder).Methods(http.MethodGet)
	r.PathPrefix(admin.PathPrefix()).Handler(admin)
	return r
}

// Stop ends the node without cutting requests. Callers see first that it is
// not ready, and go on to be served; then other nodes send no more work; then
// what runs ends. The upstream's own calls are served until all its requests
// have ended.
func (n *Node) Stop(context.Context) error {
	p := n.parts
	started := time.Now()
	grace := p.Settings.GetBounds().GetGrace().AsDuration()
	at := func(share float64) time.Time { return started.Add(time.Duration(share * float64(grace))) }
	n.stopping.Store(true)
	p.Reporter.Notice("stopping", "grace", grace)
	time.Sleep(time.Until(at(leaveShare)))
	p.Fleet.beaconer.Leave()
	time.Sleep(time.Until(at(quietShare)))
	for time.Now().Before(at(endShare)) && n.busy() {
		time.Sleep(idleLook)
	}
	if p.Steward.Draining() {
		n.delist()
	}
	ctx, cancel := context.WithDeadline(context.Background(), at(endShare))
	defer cancel()
	for _, s := range append([]*http.Server{n.callers}, n.others...) {
		if err := s.Shutdown(ctx); err != nil {
			p.Reporter.Notice("requests_cut", "address", s.Addr, "err", err)
			if err := s.Close(); err != nil {
				p.Reporter.Notice("listener_not_closed", "address", s.Addr, "err", err)
			}
		}
	}
	p.Reporter.Notice("stopped", "took", time.Since(started))
	n.cancel()
	if err := p.Transport.Close(); err != nil {
		return errors.Trace(err)
	}
	n.group.Wait()
	return nil
}

// busy tells whether requests run at the upstream.
func (n *Node) busy() bool {
	for _, e := range n.parts.Steward.Endpoints() {
		if e.GetActive()+e.GetQueued() > 0 {
			return true
		}
	}
	return false
}

// delist removes this node from the directory, as its upstream is gone.
func (n *Node) delist() {
	ctx, cancel := context.WithTimeout(context.Background(), delistTimeout)
	defer cancel()
	if err := n.parts.Platform.Directory.Deregister(ctx, n.parts.Settings.GetNode().GetName()); err != nil {
		n.parts.Reporter.Notice("not_delisted", "err", err)
	}
}
