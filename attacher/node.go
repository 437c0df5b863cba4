package attacher

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"quetzalhub/caller"
	"quetzalhub/confirmer"
	"quetzalhub/drainer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper/udp"
	"quetzalhub/quarantiner"
	"quetzalhub/recorder"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/supervisor"
)

const (
	// readHeaderTimeout bounds the time a client may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// leaveFraction, waitFraction and shutdownFraction are points in the grace
	// period of a planned stop. Until the first, callers learn that the node is
	// not ready; then it leaves the membership, and until the second other nodes
	// stop sending calls; until the third active requests end. Requests that can't be
	// expected to end by then are refused. Answers that have begun are written until the last.
	leaveFraction    = 0.35
	waitFraction     = 0.55
	shutdownFraction = 0.85
	writeFraction    = 0.97
	// answerMargin is the time between the end of the last request and the close of its
	// connection, for its answer to be written.
	answerMargin = 100 * time.Millisecond
	// activeCheckInterval is the time between checks whether requests have ended.
	activeCheckInterval = 50 * time.Millisecond
	// deregisterTimeout bounds the call that removes the node from the directory.
	deregisterTimeout = 300 * time.Millisecond
)

// Node is a running node.
type Node struct {
	parts    nodeParts
	cancel   context.CancelFunc
	group    sync.WaitGroup
	stopping atomic.Bool
	// closing is true once the connections of callers are being closed.
	closing         atomic.Bool
	callerServer    *drainer.Server
	connections     *connectionLimiter
	internalServers []*drainer.Server
}

// nodeParts are the dependencies of a node.
type nodeParts struct {
	fx.In

	Settings    *schema.Settings
	Source      SettingsSource
	Platform    *Platform
	Reporter    *reporter.Reporter
	Recorder    *recorder.Recorder
	Confirmer   *confirmer.Confirmer
	Transport   *udp.Transport
	Supervisor  *supervisor.Supervisor
	Caller      *caller.Caller
	Quarantiner *quarantiner.Quarantiner
	Departures  *departures
	Fleet       *fleet
	Traffic     *traffic
}

func newNode(p nodeParts) *Node {
	n := &Node{parts: p, connections: newConnectionLimiter(p.Settings.GetBounds().GetFiles(), idleTimeout(p.Confirmer))}
	p.Recorder.Publish("state_version", func() any { return p.Confirmer.Version() })
	p.Recorder.Publish("members_live", func() any { return p.Fleet.beaconer.View().LiveCount() })
	p.Recorder.Publish("blind", func() any { return p.Fleet.configWatcher.role.isBlind() })
	p.Recorder.Publish("watch_takeovers", func() any { return p.Fleet.configWatcher.role.takeovers() })
	p.Recorder.Publish("beacon_bytes", func() any { return p.Fleet.beaconer.SentBytes() })
	p.Recorder.Publish("upstream", func() any { return p.Supervisor.Endpoints() })
	p.Recorder.Publish("shares", func() any { return p.Fleet.shedder.Shares() })
	p.Recorder.Publish("cold", func() any { return p.Traffic.rationer.Budgets() })
	p.Recorder.Publish("requests_held", func() any { return len(p.Quarantiner.HeldSuspicions()) })
	p.Recorder.Publish("evacuations", func() any { return p.Fleet.evacuations.evacuation.States() })
	p.Recorder.Publish("log_lines_dropped", func() any { return p.Reporter.Dropped() })
	p.Recorder.Publish("caller_connections", func() any { return n.connections.count() })
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
	holds := &archivist{p.Platform.Archive, p.Quarantiner, p.Fleet.beaconer.View, node.GetName(), p.Reporter, make(chan struct{}, 1)}
	entryRegistrar := &registrar{p.Platform.Directory, p.Fleet.beaconer, p.Reporter, p.Departures, holds.platformRestored}
	costs := newCostKeeper(p.Platform.Costs, p.Fleet.estimator, p.Confirmer, p.Fleet.beaconer.View, node.GetName(), p.Reporter)
	settingsReloader := &reloader{p.Settings, p.Source, p.Reporter, p.Supervisor}
	loops := []func(context.Context){
		settingsReloader.run, n.connections.run,
		p.Reporter.Run, p.Fleet.beaconer.Run, p.Fleet.balancer.Run, p.Fleet.shedder.Run, p.Fleet.configWatcher.run, p.Fleet.evacuations.run, p.Caller.Run,
		p.Supervisor.Run, entryRegistrar.run, p.Departures.run, holds.run, costs.run,
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
	n.callerServer = n.newServer(n.closeConnections(p.Traffic.entry), drainer.OnState(n.connections.trackState))
	listeners := []struct {
		address string
		server  *drainer.Server
	}{
		{node.GetPeers(), n.newServer(n.peerHandler())},
		{node.GetLocal(), n.newServer(p.Platform.NewReportHandler(p.Supervisor, p.Departures, p.Reporter))},
		{node.GetAdmin(), n.newServer(p.Platform.NewReadinessHandler(ready, n.adminHandler()))},
		{node.GetCallers(), n.callerServer},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", l.address)
		}
		l.server.Addr = l.address
		if l.server != n.callerServer {
			n.internalServers = append(n.internalServers, l.server)
		}
		n.group.Go(func() { n.serve(l.server, listener) })
	}
	return nil
}

// newServer returns a server that logs the connections that it ends without an answer, and its
// errors, such as a panic of a handler.
func (n *Node) newServer(handler http.Handler, opts ...drainer.Option) *drainer.Server {
	r := n.parts.Reporter
	s := drainer.New(handler, append(opts, drainer.OnUnanswered(func(u drainer.Unanswered) {
		r.Event("connection_unanswered", "caller", u.Caller, "state", u.State.String(), "read", u.Read, "age", u.Age, "draining", u.Draining)
	}))...)
	s.ReadHeaderTimeout, s.MaxHeaderBytes = readHeaderTimeout, caller.MaxHeadBytes
	s.ErrorLog = stdlog.New(errorWriter{r}, "", 0)
	return s
}

// errorWriter writes the errors of servers to the log of the node.
type errorWriter struct{ reporter *reporter.Reporter }

func (w errorWriter) Write(text []byte) (int, error) {
	w.reporter.Event("server_error", "err", strings.TrimSpace(string(text)))
	return len(text), nil
}

func (n *Node) serve(s *drainer.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.parts.Reporter.Notice("listener_lost", "address", l.Addr().String(), "err", err)
	}
}

// idleTimeout returns a function that reads the idle timeout of callers'
// connections from the current configuration; zero if it gives none.
func idleTimeout(c *confirmer.Confirmer) func() time.Duration {
	return func() time.Duration {
		if snapshot := c.Snapshot(); snapshot != nil {
			return snapshot.State.GetConfig().GetLimits().GetIdle().AsDuration()
		}
		return 0
	}
}

// closeConnections asks callers to close their connections while the node stops
// or has too many connections. A request that arrives while connections are being closed is
// refused, so that the node ends in time and the caller goes to another one.
func (n *Node) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.closing.Load() {
			w.Header().Set("Connection", "close")
			n.parts.Traffic.refuser.Refuse(w, refuser.Draining, refuser.Detail{})
			return
		}
		if n.stopping.Load() || n.connections.isOverLimit() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// peerHandler serves requests with an envelope as forwarded calls and all others
// as control calls. Paths can't tell them apart, since a forwarded call has the
// path that the caller chose.
func (n *Node) peerHandler() http.Handler {
	control := http.MaxBytesHandler(schema.NewPeerServer(n.parts.Traffic.responder), caller.MaxMessageBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwarder.HeaderEnvelope) != "" {
			n.parts.Traffic.relay.ServeHTTP(w, r)
			return
		}
		// Nodes don't read the date.
		w.Header()["Date"] = nil
		control.ServeHTTP(w, r)
	})
}

func (n *Node) adminHandler() http.Handler {
	admin := schema.NewAdminServer(n.parts.Traffic.responder)
	r := mux.NewRouter()
	r.Handle("/debug/vars", n.parts.Recorder).Methods(http.MethodGet)
	r.PathPrefix(admin.PathPrefix()).Handler(http.MaxBytesHandler(admin, caller.MaxMessageBytes))
	return r
}

// Stop ends the node without cutting requests. First the node reports that it is
// not ready but still serves callers, then other nodes stop sending calls, then
// active requests end. Calls made by the upstream are served until all its
// requests have ended.
func (n *Node) Stop(context.Context) error {
	p := n.parts
	started := time.Now()
	grace := p.Settings.GetBounds().GetGrace().AsDuration()
	at := func(fraction float64) time.Time { return started.Add(time.Duration(fraction * float64(grace))) }
	n.stopping.Store(true)
	p.Traffic.lifetime.Stop(at(shutdownFraction).Add(-answerMargin))
	p.Reporter.Notice("stopping", "grace", grace)
	time.Sleep(time.Until(at(leaveFraction)))
	p.Fleet.beaconer.Leave()
	time.Sleep(time.Until(at(waitFraction)))
	for time.Now().Before(at(shutdownFraction)) && n.hasActiveRequests() {
		time.Sleep(activeCheckInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), at(shutdownFraction))
	defer cancel()
	if p.Supervisor.Draining() {
		n.deregister()
	} else if err := p.Departures.keepStatement(ctx); err != nil {
		p.Reporter.Notice("statement_not_kept", "err", err)
	}
	n.drain(ctx, at(writeFraction))
	p.Reporter.Notice("stopped", "took", time.Since(started))
	n.cancel()
	if err := p.Transport.Close(); err != nil {
		return errors.Trace(err)
	}
	n.group.Wait()
	return nil
}

// drain closes the connections of callers, and then those of other nodes, the upstream and the
// platform, at the latest once the context ends. What is open at the end is cut.
func (n *Node) drain(ctx context.Context, end time.Time) {
	n.closing.Store(true)
	limit, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	callers, drained := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		n.drainServer(limit, n.callerServer)
		drained()
	})
	<-callers.Done()
	n.parts.Traffic.upstreams.closing.Store(true)
	for _, s := range n.internalServers {
		n.drainServer(limit, s)
	}
	group.Wait()
}

func (n *Node) drainServer(ctx context.Context, s *drainer.Server) {
	if err := s.Drain(ctx); err != nil {
		n.parts.Reporter.Notice("requests_cut", "address", s.Addr, "err", err)
	}
}

// hasActiveRequests reports whether requests run or wait at the upstream.
func (n *Node) hasActiveRequests() bool {
	for _, e := range n.parts.Supervisor.Endpoints() {
		if e.GetActive()+e.GetQueued() > 0 {
			return true
		}
	}
	return false
}

// deregister removes this node from the directory, since its upstream has left.
func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := n.parts.Departures.delist(ctx); err != nil {
		n.parts.Reporter.Notice("not_delisted", "err", err)
	}
}
