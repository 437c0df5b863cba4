package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"quetzalhub/announcer"
	"quetzalhub/balancer"
	"quetzalhub/caller"
	"quetzalhub/certifier"
	"quetzalhub/confirmer"
	"quetzalhub/drainer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/gossiper/udp"
	"quetzalhub/lender"
	"quetzalhub/limiter"
	"quetzalhub/recorder"
	"quetzalhub/refuser"
	"quetzalhub/responder"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/watcher"
)

const (
	// readHeaderTimeout is the time limit for reading the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// drainPropagationDelay is the time in which the announcement of a planned
	// stop reaches the other nodes.
	drainPropagationDelay = 1500 * time.Millisecond
	// handOverTimeout is the time limit for handing over shards and loans at a
	// stop.
	handOverTimeout = 3 * time.Second
)

// Node runs the parts of a node.
type Node struct {
	parts   nodeParts
	logger  *log.Logger
	servers []*drainer.Server
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// closing is true once the connections of callers are closed.
	closing atomic.Bool
}

// nodeParts are the parts of a node, provided by Module.
type nodeParts struct {
	fx.In

	Settings  *schema.Settings
	Security  *security
	Recorder  *recorder.Recorder
	Confirmer *confirmer.Confirmer
	Store     storer.Store
	Transport *udp.Transport
	Gossiper  *gossiper.Gossiper
	Caller    *caller.Caller
	Limiter   *limiter.Limiter
	Lender    *lender.Lender
	Announcer *announcer.Announcer
	Balancer  *balancer.Balancer
	Watcher   *watcher.Watcher
	Responder *responder.Responder
	Traffic   *traffic
}

func newNode(p nodeParts, logger *log.Logger) *Node {
	n := &Node{parts: p, logger: logger}
	p.Confirmer.OnChange(n.handleStateChange)
	p.Recorder.Publish("state_version", func() any { return p.Confirmer.Version() })
	p.Recorder.Publish("fresh", func() any { return p.Confirmer.Fresh() })
	p.Recorder.Publish("members_live", func() any { return p.Gossiper.View().LiveCount() })
	p.Recorder.Publish("guards", func() any { return p.Announcer.Statuses() })
	p.Recorder.Publish("cpu_seconds", processorTime)
	return n
}

// handleStateChange logs each new state. If the state fences this instance, the
// node takes a new incarnation.
func (n *Node) handleStateChange(c confirmer.Change) {
	name, incarnation := n.parts.Gossiper.Identity()
	if c.New.IsFenced(name, incarnation) {
		n.logger.Warn("this instance was fenced; continuing with a new incarnation", "incarnation", incarnation)
		n.group.Go(n.parts.Gossiper.Reincarnate)
	}
	n.logger.Info("state in force", "version", c.New.Version(), "config", c.New.State.GetConfig().GetVersion())
}

// Start opens the listeners, starts the background loops and joins the fleet.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return errors.Trace(err)
	}
	mover := newShardMover(n.parts, n.logger)
	loops := []func(context.Context){mover.run, n.parts.Balancer.Run, n.parts.Gossiper.Run, n.parts.Caller.Run, n.parts.Watcher.Run, n.parts.Limiter.Run, n.parts.Announcer.Run}
	for _, loop := range loops {
		n.group.Go(func() { loop(ctx) })
	}
	n.group.Go(func() { n.parts.Transport.Run(n.parts.Gossiper.Receive) })
	n.join()
	node := n.parts.Settings.GetNode()
	n.logger.Info("node started", "name", node.GetName(), "domain", node.GetDomain(), "callers", node.GetCallers())
	return nil
}

func (n *Node) join() {
	var addresses []string
	for _, a := range strings.Split(n.parts.Settings.GetGossip().GetJoin(), ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	n.parts.Gossiper.Join(addresses)
}

func (n *Node) listen() error {
	node := n.parts.Settings.GetNode()
	handlers := []struct {
		address string
		handler http.Handler
		// roles may connect; if there are none, everyone may.
		roles []certifier.Role
	}{
		{node.GetPeers(), n.peerHandler(), []certifier.Role{certifier.Node}},
		{node.GetAdmin(), n.adminHandler(), []certifier.Role{certifier.Operator, certifier.Node}},
		{node.GetLocal(), n.localHandler(), nil},
		{node.GetCallers(), n.callerHandler(), nil},
	}
	for _, h := range handlers {
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", h.address)
		}
		s := drainer.New(h.handler, drainer.OnUnanswered(n.logUnanswered))
		s.ReadHeaderTimeout, s.MaxHeaderBytes = readHeaderTimeout, caller.MaxHeadBytes
		s.ErrorLog = n.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
		n.servers = append(n.servers, s)
		n.group.Go(func() { _ = s.Serve(n.parts.Security.wrap(listener, h.roles...)) })
	}
	return nil
}

func (n *Node) logUnanswered(u drainer.Unanswered) {
	n.logger.Warn("connection ended without an answer", "caller", u.Caller, "state", u.State, "read", u.Read, "age", u.Age, "draining", u.Draining)
}

// callerHandler serves requests of callers. While the node closes its connections, it
// refuses them, so that it ends in time and the caller goes to another one.
func (n *Node) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.closing.Load() {
			w.Header().Set("Connection", "close")
			n.parts.Traffic.refuser.Refuse(w, refuser.Draining, refuser.Detail{})
			return
		}
		n.parts.Traffic.entry.ServeHTTP(w, r)
	})
}

// peerHandler separates forwarded requests from control calls by the envelope
// header. It can't use the path, since callers choose the paths of their
// requests.
func (n *Node) peerHandler() http.Handler {
	control := http.MaxBytesHandler(schema.NewPeerServer(n.parts.Responder), caller.MaxMessageBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwarder.HeaderEnvelope) != "" {
			n.parts.Traffic.relay.ServeHTTP(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
}

func (n *Node) adminHandler() http.Handler {
	admin := schema.NewAdminServer(n.parts.Responder)
	r := mux.NewRouter()
	r.Handle("/debug/vars", n.parts.Recorder).Methods(http.MethodGet)
	r.PathPrefix(admin.PathPrefix()).Handler(http.MaxBytesHandler(admin, caller.MaxMessageBytes))
	return r
}

func (n *Node) localHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.Handle("/quetzal/announce", n.parts.Announcer).Methods(http.MethodPut)
	r.PathPrefix("/").Handler(n.parts.Traffic.egress)
	return r
}

// Stop stops the node without cutting off requests: it announces the stop to the
// other nodes, waits for active requests, returns loans to their holders and hands
// shards over to other nodes. Requests that are still active at the end of the
// drain time are cut off.
func (n *Node) Stop(context.Context) error {
	n.logger.Info("node stopping")
	n.parts.Announcer.Drain()
	n.parts.Gossiper.Push()
	time.Sleep(drainPropagationDelay)
	ctx, cancel := context.WithTimeout(context.Background(), n.parts.Settings.GetNode().GetDrain().AsDuration())
	defer cancel()
	callersIndex := len(n.servers) - 1
	n.closing.Store(true)
	n.shutdown(ctx, n.servers[callersIndex])
	handOver, stop := context.WithTimeout(context.Background(), handOverTimeout)
	defer stop()
	n.parts.Limiter.ReturnLoans(handOver)
	newShardMover(n.parts, n.logger).moveAll(handOver)
	n.parts.Gossiper.Leave()
	for _, s := range n.servers[:callersIndex] {
		n.shutdown(ctx, s)
	}
	n.cancel()
	_ = n.parts.Transport.Close()
	n.group.Wait()
	n.logger.Info("node stopped")
	return nil
}

func (n *Node) shutdown(ctx context.Context, s *drainer.Server) {
	if err := s.Drain(ctx); err != nil {
		n.logger.Warn("drain time expired with requests still active; their connections are closed", "err", err)
	}
}
