package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
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
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/gossiper/udp"
	"quetzalhub/lender"
	"quetzalhub/limiter"
	"quetzalhub/recorder"
	"quetzalhub/responder"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/watcher"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends its headers.
	readHeaderTimeout = 10 * time.Second
	// drainNotice is the time given to other nodes to hear of a planned stop.
	drainNotice = 1500 * time.Millisecond
	// handOverTimeout bounds the hand-over of shards and loans at a stop.
	handOverTimeout = 3 * time.Second
)

// Node is a running node.
type Node struct {
	parts   nodeParts
	logger  *log.Logger
	servers []*http.Server
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// nodeParts are what a node is made of.
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
	p.Confirmer.OnChange(n.follow)
	p.Recorder.Publish("state_version", func() any { return p.Confirmer.Version() })
	p.Recorder.Publish("fresh", func() any { return p.Confirmer.Fresh() })
	p.Recorder.Publish("members_live", func() any { return p.Gossiper.View().LiveCount() })
	p.Recorder.Publish("guards", func() any { return p.Announcer.Statuses() })
	p.Recorder.Publish("cpu_seconds", processorTime)
	return n
}

// follow logs each new state and starts anew if this start was fenced.
func (n *Node) follow(c confirmer.Change) {
	name, incarnation := n.parts.Gossiper.Identity()
	if c.New.IsFenced(name, incarnation) {
		n.logger.Warn("this start was fenced by the others; going on as a new one", "incarnation", incarnation)
		n.group.Go(n.parts.Gossiper.Reincarnate)
	}
	n.logger.Info("state in force", "version", c.New.Version(), "config", c.New.State.GetConfig().GetVersion())
}

// Start opens the listeners and starts the loops.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return errors.Trace(err)
	}
	mover := newMover(n.parts, n.logger)
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
		// roles may connect; none means everyone.
		roles []certifier.Role
	}{
		{node.GetPeers(), n.peerHandler(), []certifier.Role{certifier.Node}},
		{node.GetAdmin(), n.adminHandler(), []certifier.Role{certifier.Operator, certifier.Node}},
		{node.GetLocal(), n.localHandler(), nil},
		{node.GetCallers(), n.parts.Traffic.entry, nil},
	}
	for _, h := range handlers {
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", h.address)
		}
		s := &http.Server{
			Handler:           h.handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          n.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		n.servers = append(n.servers, s)
		n.group.Go(func() { _ = s.Serve(n.parts.Security.wrap(listener, h.roles...)) })
	}
	return nil
}

// peerHandler tells calls on behalf of callers from control calls by the
// envelope, since the paths of the former are the callers' own.
func (n *Node) peerHandler() http.Handler {
	control := schema.NewPeerServer(n.parts.Responder)
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
	r.PathPrefix(admin.PathPrefix()).Handler(admin)
	return r
}

func (n *Node) localHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.Handle("/quetzal/announce", n.parts.Announcer).Methods(http.MethodPut)
	r.PathPrefix("/").Handler(n.parts.Traffic.egress)
	return r
}

// Stop ends the node without cutting requests: others hear of it first, then
// active requests end, then shards and loans go to other nodes.
func (n *Node) Stop(context.Context) error {
	n.logger.Info("node stopping")
	n.parts.Announcer.Drain()
	n.parts.Gossiper.Push()
	time.Sleep(drainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.parts.Settings.GetNode().GetDrain().AsDuration())
	defer cancel()
	callers := len(n.servers) - 1
	n.shutdown(ctx, n.servers[callers])
	handOver, stop := context.WithTimeout(context.Background(), handOverTimeout)
	defer stop()
	n.parts.Limiter.ReturnLoans(handOver)
	newMover(n.parts, n.logger).moveAll(handOver)
	n.parts.Gossiper.Leave()
	for _, s := range n.servers[:callers] {
		n.shutdown(ctx, s)
	}
	n.cancel()
	_ = n.parts.Transport.Close()
	n.group.Wait()
	n.logger.Info("node stopped")
	return nil
}

func (n *Node) shutdown(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		n.logger.Warn("requests were still active at the end of the drain time", "err", err)
		_ = s.Close()
	}
}
