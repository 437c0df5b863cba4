// Package beaconer keeps the table of nodes where each can reach all others:
// every node tells all others about itself at a short interval, over UDP.
//
// A beacon holds the node's record, the load of the upstream beside it, the
// version of its state and its usage by workspace. A node that was not heard
// from for a while is no longer picked for calls; it stays in the table, so
// that two sides of a partition find each other again. Nodes learn of others
// from the platform's directory, from beacons that reach them, and from the
// neighbors named there.
//
// The interval grows with the fleet, so that a node sends and takes a bounded
// number of datagrams a second.
//
// # Usage
//
//	b := beaconer.New(self, transport, source, beaconer.Interval(200*time.Millisecond))
//	go b.Run(ctx)
//	b.Meet(name, address)
//	members := b.View().Service("orders")
//
// One goroutine owns the table; everything else reads View and Usages.
package beaconer

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

// Transport sends datagrams.
type Transport interface {
	// Send sends a datagram to an address; it may be lost.
	Send(address string, datagram []byte)
}

// Source tells what this node says about itself.
type Source interface {
	// Endpoints returns the upstream beside this node with its load.
	Endpoints() []*schema.Endpoint
	// Usages returns what this node sees of each workspace.
	Usages() []*schema.Usage
	// Version returns the version of the state.
	Version() uint64
	// Profiles returns what requests cost at the upstream beside this node.
	Profiles() []*schema.Profile
	// Inflows returns what callers ask of this node.
	Inflows() []*schema.Inflow
}

// Listener is told of what other nodes say.
type Listener interface {
	// BeaconReceived is called for each beacon.
	BeaconReceived(from *schema.Member, b *schema.Beacon)
	// NodeSilent is called when a node has fallen silent.
	NodeSilent(m *schema.Member)
}

const (
	// inboxLength is the number of datagrams that may wait.
	inboxLength = 1024
	// neighborsTold is the number of other nodes named in a beacon.
	neighborsTold = 4
	// packetsPerSecond bounds the beacons that a node sends; at 20 µs a
	// datagram that is under one percent of a core.
	packetsPerSecond = 400
	// silentFactor is the number of intervals after which a silent node gets
	// no calls. Datagrams are lost now and then, four in a row hardly ever.
	silentFactor = 5
	// forgetAfter is the time after which a silent node leaves the table.
	forgetAfter = 10 * time.Minute
	// courtesy is the number of intervals between two beacons to a silent node.
	courtesy = 5
	// profilesEvery is the number of beacons of which one carries profiles.
	profilesEvery = 5
	// newBeacons is the number of beacons of a node that has just started, of
	// which one in newProfilesEvery carries profiles: after a loss of power all
	// nodes learn the costs again, while callers come back.
	newBeacons, newProfilesEvery = 30, 2
	// inflowsEvery is the number of beacons of which one carries inflows.
	inflowsEvery = 2
	// neighborsEvery is the number of beacons of which one names neighbors.
	neighborsEvery = 10
)

// peer is a row of the table.
type peer struct {
	address string
	member  *schema.Member
	number  uint64
	// former is the incarnation before the present one; a datagram of it may
	// arrive late. Incarnations are random, since clocks may step back.
	former uint64
	heard  time.Time
	// silent is true while the node is not picked for calls.
	silent bool
	usages []*schema.Usage
}

// Beaconer owns the table.
type Beaconer struct {
	interval  time.Duration
	name      string
	transport Transport
	source    Source
	listeners []Listener

	inbox       chan []byte
	actions     chan func()
	view        atomic.Pointer[gossiper.View]
	usages      atomic.Pointer[map[string][]*schema.Usage]
	heard       atomic.Pointer[map[string]time.Time]
	leaving     atomic.Bool
	incarnation uint64

	// The fields below belong to the goroutine in Run.
	self   *schema.Member
	number uint64
	ticks  int
	peers  map[string]*peer
	dirty  bool
}

// New returns a beaconer for the given node.
func New(self *schema.Member, t Transport, s Source, interval time.Duration, listeners ...Listener) *Beaconer {
	b := &Beaconer{
		interval:    interval,
		name:        self.GetName(),
		transport:   t,
		source:      s,
		listeners:   listeners,
		inbox:       make(chan []byte, inboxLength),
		actions:     make(chan func(), inboxLength),
		incarnation: self.GetIncarnation(),
		self:        self,
		peers:       map[string]*peer{},
	}
	b.refresh()
	return b
}

// View returns the present picture of the fleet.
func (b *Beaconer) View() *gossiper.View { return b.view.Load() }

// Identity returns the name and the incarnation of this node.
func (b *Beaconer) Identity() (name string, incarnation uint64) { return b.name, b.incarnation }

// Usages returns what other nodes told last of their workspaces, by node.
// Nodes that fell silent are included.
func (b *Beaconer) Usages() map[string][]*schema.Usage { return *b.usages.Load() }

// SinceLastBeacon returns the time since a node was heard from, and false if it never was.
func (b *Beaconer) SinceLastBeacon(name string) (time.Duration, bool) {
	at, ok := (*b.heard.Load())[name]
	return time.Since(at), ok
}

// Receive hands over a datagram; it is dropped if the beaconer is behind.
func (b *Beaconer) Receive(datagram []byte) {
	select {
	case b.inbox <- datagram:
	default:
	}
}

// AddNode adds a node found elsewhere.
func (b *Beaconer) AddNode(name, address string) {
	b.do(func() { b.meet(name, address) })
}

// Announce tells all others at once that something changed here.
func (b *Beaconer) Announce() { b.do(b.shout) }

// Leave tells all others that this node stops.
func (b *Beaconer) Leave() {
	b.leaving.Store(true)
	b.Announce()
}

func (b *Beaconer) do(action func()) { b.actions <- action }

// Run owns the table until the context ends.
func (b *Beaconer) Run(ctx context.Context) {
	timer := time.NewTimer(b.interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-b.inbox:
			b.handle(datagram)
		case action := <-b.actions:
			action()
		case <-timer.C:
			b.tick()
			timer.Reset(b.pace())
		}
		if b.dirty && len(b.inbox) == 0 {
			b.refresh()
		}
	}
}

// pace returns the interval for the present size of the fleet.
func (b *Beaconer) pace() time.Duration {
	return max(b.interval, time.Duration(len(b.peers))*time.Second/packetsPerSecond)
}

// tick sends a beacon to all and looks for silent nodes.
func (b *Beaconer) tick() {
	b.ticks++
	datagram := b.beacon()
	for _, p := range b.peers {
		if !p.silent || b.ticks%courtesy == 0 {
			b.transport.Send(p.address, datagram)
		}
	}
	b.expire(time.Now())
	b.dirty = true
}

func (b *Beaconer) shout() {
	datagram := b.beacon()
	for _, p := range b.peers {
		b.transport.Send(p.address, datagram)
	}
	b.dirty = true
}

func (b *Beaconer) expire(now time.Time) {
	for name, p := range b.peers {
		age := now.Sub(p.heard)
		if !p.silent && age > silentFactor*b.pace() {
			p.silent = true
			b.dirty = true
			if p.member != nil {
				b.gone(p.member)
			}
		}
		if age > forgetAfter {
			delete(b.peers, name)
			b.dirty = true
		}
	}
}

func (b *Beaconer) gone(m *schema.Member) {
	for _, l := range b.listeners {
		l.NodeSilent(m)
	}
}

// record returns this node's record.
func (b *Beaconer) record() *schema.Member {
	m := proto.CloneOf(b.self)
	m.Endpoints = b.source.Endpoints()
	if b.leaving.Load() {
		m.Status = schema.Status_STATUS_LEFT
	}
	return m
}

func (b *Beaconer) beacon() []byte {
	b.number++
	beacon := &schema.Beacon{Member: b.record(), Version: b.source.Version(), Number: b.number, Usages: b.source.Usages()}
	every := uint64(profilesEvery)
	if b.number <= newBeacons {
		every = newProfilesEvery
	}
	if b.number%every == 0 {
		beacon.Profiles = b.source.Profiles()
	}
	if b.number%inflowsEvery == 0 {
		beacon.Inflows = b.source.Inflows()
	}
	for name, p := range b.peers {
		if b.number%neighborsEvery != 0 {
			break
		}
		if len(beacon.Neighbors) == neighborsTold {
			break
		}
		if !p.silent {
			beacon.Neighbors = append(beacon.Neighbors, &schema.Neighbor{Name: name, Address: p.address})
		}
	}
	data, err := proto.Marshal(beacon)
	if err != nil {
		// A message built here can always be encoded.
		panic(err)
	}
	return data
}

func (b *Beaconer) meet(name, address string) {
	if name == b.name || address == b.self.GetBeacon() {
		return
	}
	p := b.peers[name]
	if p == nil {
		p = &peer{heard: time.Now(), silent: true}
		b.peers[name] = p
	}
	if p.member == nil && p.address != address {
		p.address = address
		b.transport.Send(address, b.beacon())
	}
}

func (b *Beaconer) handle(datagram []byte) {
	beacon := &schema.Beacon{}
	if err := proto.Unmarshal(datagram, beacon); err != nil || beacon.GetMember().GetName() == "" {
		return
	}
	m := beacon.GetMember()
	if m.GetName() == b.name {
		return
	}
	b.take(m, beacon)
	for _, n := range beacon.GetNeighbors() {
		b.meet(n.GetName(), n.GetAddress())
	}
}

// take updates the row of a node, unless the beacon is older than the last.
func (b *Beaconer) take(m *schema.Member, beacon *schema.Beacon) {
	p := b.peers[m.GetName()]
	if p == nil {
		p = &peer{}
		b.peers[m.GetName()] = p
	}
	known := p.member
	again := known != nil && known.GetIncarnation() == m.GetIncarnation()
	if again && p.number >= beacon.GetNumber() || p.former == m.GetIncarnation() {
		return
	}
	if known != nil && !again {
		p.former = known.GetIncarnation()
	}
	p.address, p.member, p.number, p.heard = m.GetBeacon(), m, beacon.GetNumber(), time.Now()
	p.usages = beacon.GetUsages()
	if !again {
		b.transport.Send(p.address, b.beacon())
	}
	p.silent = false
	b.dirty = true
	for _, l := range b.listeners {
		l.BeaconReceived(m, beacon)
	}
}

// refresh publishes the table.
func (b *Beaconer) refresh() {
	members := map[string]*schema.Member{b.name: b.record()}
	usages := map[string][]*schema.Usage{}
	heard := map[string]time.Time{}
	for name, p := range b.peers {
		if p.member == nil {
			continue
		}
		usages[name] = p.usages
		heard[name] = p.heard
		m := p.member
		if p.silent && m.GetStatus() == schema.Status_STATUS_ALIVE {
			m = proto.CloneOf(m)
			m.Status = schema.Status_STATUS_FAILED
		}
		members[name] = m
	}
	b.view.Store(gossiper.NewView(members))
	b.usages.Store(&usages)
	b.heard.Store(&heard)
	b.dirty = false
}
