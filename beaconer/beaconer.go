// Package beaconer maintains the membership table of a fleet in which every
// node can reach all others: each node sends a beacon to all others at a short
// interval, over UDP.
//
// In a large fleet, beacons go through relays. A node sends its beacon to the relay of
// its group, a part of its failure domain. The relay passes on the beacons of the group to
// the other relays, and those of all groups to its group, many in one datagram. Roles
// follow from what is sent: a node is a relay as long as others ask it to pass on their
// beacons. No election is needed: a node sends its beacons directly to all nodes from which
// it has not heard lately, which answer directly, and to all nodes while its relay does not
// return them. Then it chooses another one. Relayed beacons leave out what has not changed,
// and are packed. Those for another failure domain go to one relay there, which sends them to
// the others. In a small fleet, nodes send other failure domains what has changed.
//
// A beacon holds the node's record, the load of its local upstream, the version
// of its state and its usage by workspace. A node that sends no beacon for
// several intervals is silent and no longer picked for calls. It stays in the
// table, so that the two sides of a partition find each other again. Nodes learn
// of others from the platform's directory, from received beacons, and from the
// neighbors listed in them.
//
// The interval grows with the fleet, which bounds the number of datagrams that
// a relay sends per second.
//
// # Usage
//
//	b := beaconer.New(self, transport, source, 200*time.Millisecond, listeners...)
//	go b.Run(ctx)
//	b.AddNode(name, address)
//	members := b.View().Service("orders")
//
// The goroutine in Run owns the table; others read the copies that View and
// Usages return.
package beaconer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

// Transport sends datagrams.
type Transport interface {
	// Send sends a datagram to an address; it may be lost.
	Send(address string, datagram []byte)
}

// Source provides the content of this node's beacons.
type Source interface {
	// Endpoints returns the local upstream with its load.
	Endpoints() []*schema.Endpoint
	// Usages returns the usage of each workspace at this node.
	Usages() []*schema.Usage
	// Version returns the version of the state.
	Version() uint64
	// Profiles returns the cost of requests at the local upstream.
	Profiles() []*schema.Profile
	// Inflows returns the load that callers offer to this node.
	Inflows() []*schema.Inflow
	// Remarks returns what this node knows of upstreams that have left or state a
	// rate limit.
	Remarks() []*schema.Remark
	// Suspicions returns what this node knows of requests that ran in upstreams when
	// they crashed.
	Suspicions() []*schema.Suspicion
	// Evacuations returns what this node knows of evacuated failure domains: all of it,
	// with informed true if the platform or another node has told all evacuations, or only
	// what has changed lately.
	Evacuations(all bool) (records []*schema.Evacuation, informed bool)
	// Blind reports whether this node does not reach the platform.
	Blind() bool
}

// Listener is notified of beacons and of nodes that become silent.
type Listener interface {
	// BeaconReceived is called for each accepted beacon.
	BeaconReceived(from *schema.Member, b *schema.Beacon)
	// NodeSilent is called when a node becomes silent.
	NodeSilent(m *schema.Member)
	// BeaconReduced is called when a beacon of this node is sent without some of its
	// content, which cannot be encoded.
	BeaconReduced(err error)
}

const (
	// inboxLength is the capacity of the queues of datagrams and actions.
	inboxLength = 1024
	// maxNeighbors is the largest number of neighbors listed in a beacon.
	maxNeighbors = 4
	// maxBeaconsPerSecond bounds the beacons that a node sends. At 20 µs per
	// datagram this is less than one percent of a core.
	maxBeaconsPerSecond = 400
	// intervalStep is the granularity of the interval between beacons.
	intervalStep = 20 * time.Millisecond
	// silentIntervals is the number of intervals without a beacon after which a
	// node is silent. Single datagrams get lost, but rarely four in a row.
	silentIntervals = 5
	// peerRetention is the time without a beacon after which a node is removed
	// from the table.
	peerRetention = 10 * time.Minute
	// silentEvery is the number of intervals between two beacons to a silent node.
	silentEvery = 5
	// profilesEvery means that one in this many beacons carries profiles, and
	// relayedProfilesEvery the same for relayed beacons. Profiles change within seconds.
	profilesEvery, relayedProfilesEvery = 5, 10
	// Of the first startupBeacons beacons after a start, one in
	// startupProfilesEvery carries profiles: after a power loss all nodes must
	// learn the costs again while callers are already returning.
	startupBeacons, startupProfilesEvery = 30, 2
	// inflowsEvery means that one in this many beacons carries inflows.
	inflowsEvery = 2
	// neighborsEvery means that one in this many beacons lists neighbors and remarks.
	neighborsEvery = 10
	// introductionTime is the time after its start in which a node receives the beacons of
	// all others that live, even without the directory.
	introductionTime = 2 * time.Second
	// maxAssumedNodes is the number of nodes of the largest fleet.
	maxAssumedNodes = 1200
	// fullEvery means that one in this many relayed beacons is not a delta. The first
	// startupBeacons after a start are not deltas either.
	fullEvery = 10
	// directFullEvery is the same for beacons that are not relayed.
	directFullEvery = 5
)

// Beaconer sends and receives beacons and maintains the membership table.
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
	lastBeacons atomic.Pointer[map[string]*atomic.Int64]
	started     time.Time
	leaving     atomic.Bool
	incarnation uint64

	// The fields below are accessed only by the goroutine in Run.
	self *schema.Member
	// number is the sequence number of the last beacon sent.
	number uint64
	ticks  int
	peers  map[string]*peer
	// dirty is true if the table must be published before the next tick.
	dirty bool
	// listed is true once the directory has been read.
	listed bool
	relay  relay
	// sentUsages holds the arrivals by workspace that were last sent.
	sentUsages map[string]float32
	// upstream identifies the local upstream, and upstreamNumber is the number of the first
	// beacon with it.
	upstream       string
	upstreamNumber uint64
	sent           sentBytes
}

// New returns a Beaconer for the node self.
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
		started:     time.Now(),
		self:        self,
		peers:       map[string]*peer{},
		relay:       relay{subscribers: map[string]time.Time{}, distrustedUntil: map[string]time.Time{}},
		sentUsages:  map[string]float32{},
	}
	self.Digests, self.Packs = true, true
	b.publish()
	return b
}

// View returns the current membership view.
func (b *Beaconer) View() *gossiper.View { return b.view.Load() }

// Identity returns the name and the incarnation of this node.
func (b *Beaconer) Identity() (name string, incarnation uint64) { return b.name, b.incarnation }

// Usages returns the last reported usage of workspaces by node name. Silent
// nodes are included.
func (b *Beaconer) Usages() map[string][]*schema.Usage { return *b.usages.Load() }

// SinceLastBeacon returns the time since the last beacon of a node, and false if
// none was received.
func (b *Beaconer) SinceLastBeacon(name string) (time.Duration, bool) {
	at, ok := (*b.lastBeacons.Load())[name]
	if !ok {
		return 0, false
	}
	return time.Since(b.started) - time.Duration(at.Load()), true
}

// age returns the time since the last accepted beacon of a node.
func (b *Beaconer) age(p *peer, now time.Time) time.Duration {
	return now.Sub(b.started) - time.Duration(p.lastBeacon.Load())
}

// Receive queues a datagram without blocking. The datagram is dropped if the
// queue is full.
func (b *Beaconer) Receive(datagram []byte) {
	select {
	case b.inbox <- datagram:
	default:
	}
}

// AddNode adds a node that was discovered elsewhere, such as in the directory.
func (b *Beaconer) AddNode(name, address string) {
	b.enqueue(func() { b.addNode(name, address) })
}

// Listed records that all nodes of the directory have been added.
func (b *Beaconer) Listed() {
	b.enqueue(func() {
		b.listed, b.dirty = true, true
	})
}

// Announce sends a beacon with remarks to all other nodes at once, for changes that
// must not wait for the next interval.
func (b *Beaconer) Announce() { b.enqueue(b.broadcast) }

// Leave announces to all other nodes that this node stops.
func (b *Beaconer) Leave() {
	b.leaving.Store(true)
	b.Announce()
}

func (b *Beaconer) enqueue(action func()) { b.actions <- action }

// Run sends and handles beacons until the context ends.
func (b *Beaconer) Run(ctx context.Context) {
	timer := time.NewTimer(repeater.Align(0, b.sendInterval()))
	defer timer.Stop()
	// The timer runs only while there is something to pass on.
	b.relay.flushTimer = time.NewTimer(0)
	defer b.relay.flushTimer.Stop()
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
			timer.Reset(repeater.Align(0, b.sendInterval()))
		case <-b.relay.flushTimer.C:
			b.flush(time.Now())
		}
		if b.dirty && len(b.inbox) == 0 {
			b.publish()
		}
	}
}

// sendInterval returns the interval for the current size of the fleet. It is a multiple of
// intervalStep, so that ticks and flushes stay aligned.
func (b *Beaconer) sendInterval() time.Duration {
	datagrams, perSecond := len(b.peers), maxBeaconsPerSecond
	if b.relay.inUse {
		datagrams, perSecond = relayedDatagrams(len(b.peers)), maxRelayedPerSecond
	}
	needed := time.Duration(datagrams) * time.Second / time.Duration(perSecond)
	return max(b.interval, (needed + intervalStep - 1).Truncate(intervalStep))
}

// tick sends a beacon to the other nodes and checks for silent ones.
func (b *Beaconer) tick() {
	b.ticks++
	now := time.Now()
	b.updateRelay(now)
	b.number++
	relayed := b.sendToRelay(now)
	var plain, asking, lean []byte
	base := !b.relay.inUse && b.startsDirectSeries()
	for _, p := range b.peers {
		missing := b.isMissing(p, now)
		switch {
		case p.silent && b.ticks%silentEvery != 0:
		case !missing && !base && !b.relay.inUse && b.takesDeltas(p):
			if lean == nil {
				lean = b.encodeBeacon(beaconOptions{direct: true, delta: true, lean: true})
			}
			b.send(p, beaconBytes, lean)
		case missing || !relayed:
			if asking == nil {
				asking = b.encodeBeacon(beaconOptions{direct: true, base: base})
			}
			b.send(p, beaconBytes, asking)
		case now.Before(p.directUntil):
			if plain == nil {
				plain = b.encodeBeacon(beaconOptions{})
			}
			b.send(p, beaconBytes, plain)
		}
	}
	b.expire(now)
	b.dirty = true
}

// startsDirectSeries reports whether the beacon with the current number is sent whole to other
// failure domains while beacons are not relayed.
func (b *Beaconer) startsDirectSeries() bool {
	return b.number%directFullEvery == 0 || b.number <= startupBeacons
}

// takesDeltas reports whether a node is sent deltas while beacons are not relayed: those of
// other failure domains, where bytes cost more.
func (b *Beaconer) takesDeltas(p *peer) bool {
	return b.packsFor(p) && b.number > p.wholeUntil && p.member.GetDomain() != b.self.GetDomain()
}

// isMissing reports whether a node should have sent a beacon that has not arrived. It
// probably receives none either, so that both sides send theirs directly.
func (b *Beaconer) isMissing(p *peer, now time.Time) bool {
	return p.silent || b.age(p, now) > lateIntervals*b.sendInterval()
}

func (b *Beaconer) broadcast() {
	b.number++
	datagram := b.encodeBeacon(beaconOptions{withRemarks: true})
	for _, p := range b.peers {
		b.send(p, announcementBytes, datagram)
	}
	b.dirty = true
}

func (b *Beaconer) addNode(name, address string) {
	if name == b.name || address == b.self.GetBeacon() {
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		// The name would take a place in the table that no beacon can remove.
		return
	}
	p := b.peers[name]
	if p == nil {
		p = &peer{lastBeacon: &atomic.Int64{}, silent: true}
		p.lastBeacon.Store(int64(time.Since(b.started)))
		b.peers[name] = p
	}
	if p.member == nil && p.address != address {
		p.address = address
		b.number++
		b.send(p, beaconBytes, b.encodeBeacon(beaconOptions{}))
	}
}

func (b *Beaconer) handle(datagram []byte) {
	beacon := &schema.Beacon{}
	if err := proto.Unmarshal(datagram, beacon); err != nil {
		return
	}
	relayed := beacon.GetRelayed()
	if packed := beacon.GetPacked(); len(packed) > 0 {
		relayed = unpack(packed)
	}
	b.handleDigest(relayed, beacon)
	m := beacon.GetMember()
	if m.GetName() == "" || m.GetName() == b.name {
		return
	}
	b.applyBeacon(m, beacon)
	for _, n := range beacon.GetNeighbors() {
		b.addNode(n.GetName(), n.GetAddress())
	}
	if beacon.GetRelay() {
		b.relay.subscribers[m.GetName()] = time.Now()
	}
	if p := b.peers[m.GetName()]; p != nil && beacon.GetDirect() {
		p.directUntil = time.Now().Add(directIntervals * b.sendInterval())
	}
	if beacon.GetRelay() && b.takesForRelay(m.GetName(), m.GetIncarnation(), beacon.GetNumber()) {
		b.keepForRelays(m, beacon.GetNumber(), datagram)
	}
}
