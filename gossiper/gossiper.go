// Package gossiper keeps the table of the fleet's nodes and carries
// confirmations between them.
//
// Each node probes one other node at each interval, as in SWIM: a node that
// answers neither directly nor through others becomes suspect, and failed once
// the suspicion period ends; a suspect node that hears of it raises the
// sequence of its record and is alive again. Changes of records travel on the
// probes themselves, so that the cost for a node does not depend on the number
// of nodes. A start of a node is told from an earlier one by its incarnation.
//
// Confirmations of the state travel from the watchers of the platform down a
// tree of degree 16 in each failure domain; see View.
//
// # Usage
//
//	g := gossiper.New(self, transport, confirmer, gossiper.Interval(time.Second))
//	go g.Run(ctx)
//	members := g.View().Service("orders")
//
// One goroutine owns the table; everything else reads View.
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

// Confirmer holds the state that the gossiper confirms.
type Confirmer interface {
	Version() uint64
	Stamp() *schema.Stamp
	Observe(stamp *schema.Stamp, domain string, sent time.Time)
}

// Puller gets from a peer what does not fit into datagrams.
type Puller interface {
	// Fetch is called when a peer holds a newer state.
	Fetch(address string)
	// Sync is called when a peer's table differs.
	Sync(address string)
}

// record is a row of the table.
type record struct {
	member *schema.Member
	// sends is the number of times the record is still passed on.
	sends int
	// changed is the time of the last change of status.
	changed time.Time
	// reminded is true once a suspicion was passed on a second time.
	reminded bool
}

// Gossiper owns the table of nodes.
type Gossiper struct {
	options   Options
	name      string
	transport Transport
	confirmer Confirmer
	puller    Puller

	inbox   chan []byte
	actions chan func()
	view    atomic.Pointer[View]
	// incarnation is that of this node.
	incarnation atomic.Uint64

	// The fields below belong to the goroutine in Run.
	self     *schema.Member
	table    map[string]*record
	probes   map[uint64]*probe
	sequence uint64
	order    []string
	dirty    bool
	ticks    int
	synced   time.Time
	seeds    []string
	replaced map[Instance]time.Time
}

// New returns a gossiper for the given node.
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

// View returns the present picture of the fleet.
func (g *Gossiper) View() *View { return g.view.Load() }

// Identity returns the name and the incarnation of this node.
func (g *Gossiper) Identity() (name string, incarnation uint64) {
	return g.name, g.incarnation.Load()
}

// Receive hands over a datagram; it is dropped if the gossiper is behind.
func (g *Gossiper) Receive(datagram []byte) {
	select {
	case g.inbox <- datagram:
	default:
	}
}

// Announce replaces the endpoints of this node.
func (g *Gossiper) Announce(endpoints []*schema.Endpoint) {
	g.do(func() { g.change(func(m *schema.Member) { m.Endpoints = endpoints }) })
}

// Leave tells other nodes that this one is about to stop.
func (g *Gossiper) Leave() {
	done := make(chan struct{})
	g.do(func() {
		g.change(func(m *schema.Member) { m.Status = schema.Status_STATUS_LEFT })
		for range leavePackets {
			g.pingSome()
		}
		close(done)
	})
	<-done
}

// Reincarnate gives this node a new incarnation, as if it had been restarted.
func (g *Gossiper) Reincarnate() {
	g.do(func() {
		g.change(func(m *schema.Member) { m.Incarnation = max(m.GetIncarnation()+1, uint64(time.Now().UnixMilli())) })
	})
}

// Merge takes in a table received from a peer.
func (g *Gossiper) Merge(members []*schema.Member) {
	g.do(func() {
		for _, m := range members {
			g.merge(m)
		}
	})
}

// Join adds addresses to try when no other node is known.
func (g *Gossiper) Join(addresses []string) {
	g.do(func() {
		for _, a := range addresses {
			if a != g.self.GetAddress() && !slices.Contains(g.seeds, a) {
				g.seeds = append(g.seeds, a)
			}
		}
		g.pingSeed()
	})
}

// Push tells other nodes at once that this one holds a newer state.
func (g *Gossiper) Push() {
	g.do(func() {
		for _, m := range g.View().Children(g.self) {
			g.ping(m.GetAddress(), m.GetName(), false)
		}
		g.pingSome()
	})
}

func (g *Gossiper) do(action func()) { g.actions <- action }

// Run owns the table until the context ends.
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
	for start := range g.replaced {
		v.Replaced = append(v.Replaced, start)
	}
	g.view.Store(v)
	g.dirty = false
}

// expire declares suspects failed and forgets old failures.
func (g *Gossiper) expire(now time.Time) {
	for name, r := range g.table {
		age := now.Sub(r.changed)
		switch r.member.GetStatus() {
		case schema.Status_STATUS_SUSPECT:
			g.suspect(r, age)
		case schema.Status_STATUS_FAILED, schema.Status_STATUS_LEFT:
			if age > g.options.FailedRetention && name != g.self.GetName() {
				delete(g.table, name)
				g.dirty = true
			}
		}
	}
}

// suspect passes a suspicion on once more before it ends, so that nodes that
// know better correct it, and declares the node failed in the end.
func (g *Gossiper) suspect(r *record, age time.Duration) {
	if age > g.options.Suspicion {
		g.setStatus(r, schema.Status_STATUS_FAILED)
		return
	}
	if age > g.options.Suspicion/2 && !r.reminded {
		r.reminded = true
		r.sends = g.transmissions()
	}
}

// forgetStarts drops earlier starts that every node has learned of.
func (g *Gossiper) forgetStarts(now time.Time) {
	for start, at := range g.replaced {
		if now.Sub(at) > replacedMemory {
			delete(g.replaced, start)
			g.dirty = true
		}
	}
}

func (g *Gossiper) setStatus(r *record, s schema.Status) {
	m := proto.CloneOf(r.member)
	m.Status = s
	g.store(m)
}

// transmissions returns how often a change is passed on.
func (g *Gossiper) transmissions() int {
	return 2 + bits.Len(uint(len(g.table)))
}
