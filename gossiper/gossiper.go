// Package gossiper maintains the membership table of the fleet and propagates
// confirmations of the state between nodes.
//
// Each node probes one other node per interval, as in SWIM. A node that answers
// neither direct nor indirect probes becomes suspect, and failed when the
// suspicion period ends. A suspect node that learns of the suspicion refutes it
// by raising the sequence of its record, and is alive again. Changed records are
// piggybacked on probes, so the cost for a node does not depend on the number of
// nodes. The incarnation distinguishes the instances of a restarted node.
//
// Confirmations of the state propagate from the nodes that watch the platform
// down a tree of degree 16 in each failure domain; see View.
//
// # Usage
//
//	g := gossiper.New(self, transport, confirmer, puller, gossiper.Interval(time.Second))
//	go g.Run(ctx)
//	members := g.View().Service("orders")
//
// The goroutine in Run owns the table; others read View.
package gossiper

import (
	"context"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
)

// Transport sends datagrams.
type Transport interface {
	// Send sends a datagram to a peer address; it may be lost.
	Send(address string, datagram []byte)
}

// Confirmer holds the state of this node and records confirmations of it.
type Confirmer interface {
	Version() uint64
	Stamp() *schema.Stamp
	Observe(stamp *schema.Stamp, domain string, sent time.Time)
}

// Puller fetches data from a peer that does not fit into datagrams.
type Puller interface {
	// Fetch is called when a peer holds a newer state.
	Fetch(address string)
	// Sync is called when a peer's table differs.
	Sync(address string)
}

// record is an entry of the table.
type record struct {
	member *schema.Member
	// remainingSends is the number of datagrams that are still to carry the
	// record.
	remainingSends int
	// statusChanged is the time of the last change of status. A packet from a
	// suspect node itself resets it.
	statusChanged time.Time
	// suspicionResent is true once a suspicion was sent again.
	suspicionResent bool
}

// Gossiper detects failed nodes and maintains the membership table.
type Gossiper struct {
	options   Options
	name      string
	transport Transport
	confirmer Confirmer
	puller    Puller

	inbox   chan []byte
	actions chan func()
	view    atomic.Pointer[View]
	// incarnation is the incarnation of this node.
	incarnation atomic.Uint64

	// The fields below are accessed only by the goroutine in Run.
	self          *schema.Member
	table         map[string]*record
	probes        map[uint64]*probe
	probeSequence uint64
	probeOrder    []string
	// dirty is true if the table changed after the view was built.
	dirty    bool
	ticks    int
	lastSync time.Time
	seeds    []string
	replaced map[Instance]time.Time
}

// New returns a Gossiper for the node self.
func New(self *schema.Member, t Transport, c Confirmer, p Puller, opts ...Option) *Gossiper {
	g := &Gossiper{
		options:   newOptions(opts...),
		name:      self.GetName(),
		transport: t,
		confirmer: c,
		puller:    p,
		inbox:     make(chan []byte, inboxLength),
		actions:   make(chan func(), inboxLength),
		self:      self,
		table:     map[string]*record{},
		probes:    map[uint64]*probe{},
		replaced:  map[Instance]time.Time{},
	}
	g.incarnation.Store(self.GetIncarnation())
	g.store(self)
	g.refreshView()
	return g
}

// View returns the current membership view.
func (g *Gossiper) View() *View { return g.view.Load() }

// Identity returns the name and the incarnation of this node.
func (g *Gossiper) Identity() (name string, incarnation uint64) {
	return g.name, g.incarnation.Load()
}

// Receive queues a datagram without blocking. The datagram is dropped if the
// queue is full.
func (g *Gossiper) Receive(datagram []byte) {
	select {
	case g.inbox <- datagram:
	default:
	}
}

// Announce replaces the endpoints in the record of this node.
func (g *Gossiper) Announce(endpoints []*schema.Endpoint) {
	g.enqueue(func() { g.updateSelf(func(m *schema.Member) { m.Endpoints = endpoints }) })
}

// Leave announces to other nodes that this one is about to stop. It returns once
// the datagrams are sent.
func (g *Gossiper) Leave() {
	done := make(chan struct{})
	g.enqueue(func() {
		g.updateSelf(func(m *schema.Member) { m.Status = schema.Status_STATUS_LEFT })
		for range leaveRounds {
			g.pingRandomNodes()
		}
		close(done)
	})
	<-done
}

// Reincarnate gives this node a new incarnation, as if it had been restarted.
func (g *Gossiper) Reincarnate() {
	g.enqueue(func() {
		g.updateSelf(func(m *schema.Member) { m.Incarnation = max(m.GetIncarnation()+1, uint64(time.Now().UnixMilli())) })
	})
}

// Merge merges a table received from a peer.
func (g *Gossiper) Merge(members []*schema.Member) {
	g.enqueue(func() {
		for _, m := range members {
			g.merge(m)
		}
	})
}

// Join adds seed addresses and pings one of them. Seeds are also pinged while no
// other node is live, and from time to time after that.
func (g *Gossiper) Join(addresses []string) {
	g.enqueue(func() {
		for _, a := range addresses {
			if a != g.self.GetAddress() && !slices.Contains(g.seeds, a) {
				g.seeds = append(g.seeds, a)
			}
		}
		g.pingSeed()
	})
}

// Push notifies other nodes at once that this one holds a newer state.
func (g *Gossiper) Push() {
	g.enqueue(func() {
		for _, m := range g.View().Children(g.self) {
			g.ping(m.GetAddress(), m.GetName(), false)
		}
		g.pingRandomNodes()
	})
}

func (g *Gossiper) enqueue(action func()) { g.actions <- action }

// Run probes other nodes and handles datagrams until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	ticker := time.NewTicker(g.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-g.inbox:
			g.handle(datagram)
		case action := <-g.actions:
			action()
		case <-ticker.C:
			g.tick()
		}
		if g.dirty {
			g.refreshView()
		}
	}
}

func (g *Gossiper) refreshView() {
	members := make(map[string]*schema.Member, len(g.table))
	for name, r := range g.table {
		members[name] = r.member
	}
	v := NewView(members)
	for instance := range g.replaced {
		v.Replaced = append(v.Replaced, instance)
	}
	g.view.Store(v)
	g.dirty = false
}

// expire advances suspicions and removes nodes that failed or left long ago.
func (g *Gossiper) expire(now time.Time) {
	for name, r := range g.table {
		age := now.Sub(r.statusChanged)
		switch r.member.GetStatus() {
		case schema.Status_STATUS_SUSPECT:
			g.checkSuspect(r, age)
		case schema.Status_STATUS_FAILED, schema.Status_STATUS_LEFT:
			if age > g.options.FailedRetention && name != g.self.GetName() {
				delete(g.table, name)
				g.dirty = true
			}
		}
	}
}

// checkSuspect declares a suspect node failed when the suspicion period ends.
// Halfway it sends the suspicion again, so that nodes with a newer record can
// correct it.
func (g *Gossiper) checkSuspect(r *record, age time.Duration) {
	if age > g.options.Suspicion {
		g.setStatus(r, schema.Status_STATUS_FAILED)
		return
	}
	if age > g.options.Suspicion/2 && !r.suspicionResent {
		r.suspicionResent = true
		r.remainingSends = g.transmissions()
	}
}

// expireReplaced removes replaced instances that every node knows of by now.
func (g *Gossiper) expireReplaced(now time.Time) {
	for instance, at := range g.replaced {
		if now.Sub(at) > replacedRetention {
			delete(g.replaced, instance)
			g.dirty = true
		}
	}
}

func (g *Gossiper) setStatus(r *record, s schema.Status) {
	m := proto.CloneOf(r.member)
	m.Status = s
	g.store(m)
}

// transmissions returns the number of datagrams that carry a change.
func (g *Gossiper) transmissions() int {
	return 2 + bits.Len(uint(len(g.table)))
}
