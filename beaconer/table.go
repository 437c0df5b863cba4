package beaconer

import (
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

// peer is an entry of the table.
type peer struct {
	address string
	// member is nil until the first beacon arrives.
	member *schema.Member
	// number is the sequence number of the last accepted beacon.
	number uint64
	// previousIncarnation is kept because its datagrams may arrive late.
	// Incarnations are random, since clocks may step back, so their order does
	// not show which is newer.
	previousIncarnation uint64
	// lastBeacon is the time of the last accepted beacon, or else of the entry, since
	// the start of the Beaconer.
	lastBeacon *atomic.Int64
	// passedOn is the number of the last beacon of this incarnation that this node, as
	// a relay, has passed on.
	passedOn uint64
	// silent is true while the node is not eligible for calls.
	silent bool
	// directUntil is the time until which the node receives beacons directly.
	directUntil time.Time
	// wholeUntil is the number of the last beacon that is sent to the node whole after its
	// start, while deltas would have nothing to refer to if one is lost.
	wholeUntil uint64
	usages     []*schema.Usage
}

// applyBeacon updates the entry of a node. It ignores a beacon that is outdated, and a delta
// without an entry to which it applies.
func (b *Beaconer) applyBeacon(m *schema.Member, beacon *schema.Beacon) {
	p := b.peers[m.GetName()]
	if beacon.GetDelta() && (p == nil || p.member.GetIncarnation() != m.GetIncarnation()) {
		return
	}
	if p == nil {
		p = &peer{lastBeacon: &atomic.Int64{}}
		b.peers[m.GetName()] = p
	}
	if p.isOutdated(m.GetIncarnation(), beacon.GetNumber()) {
		return
	}
	previous := p.member
	if beacon.GetDelta() {
		restoreEndpoints(m, previous)
	}
	b.dirty = b.dirty || len(b.peers) < relayThreshold || p.silent || isChanged(previous, m)
	sameIncarnation := previous != nil && previous.GetIncarnation() == m.GetIncarnation()
	if previous != nil && !sameIncarnation {
		p.previousIncarnation, p.passedOn = previous.GetIncarnation(), 0
	}
	if beacon.GetDelta() {
		p.applyDelta(m, beacon)
	} else {
		p.address, p.member, p.usages = m.GetBeacon(), m, beacon.GetUsages()
	}
	p.number = beacon.GetNumber()
	p.lastBeacon.Store(int64(time.Since(b.started)))
	if !sameIncarnation {
		b.number++
		p.wholeUntil = b.number + directFullEvery
		b.send(p, beaconBytes, b.encodeBeacon(beaconOptions{withRemarks: true}))
	}
	p.silent = false
	for _, l := range b.listeners {
		l.BeaconReceived(p.member, beacon)
	}
}

// isChanged reports whether a record differs from the previous one in more than its load.
func isChanged(previous, m *schema.Member) bool {
	return previous.GetStatus() != m.GetStatus() || previous.GetBlind() != m.GetBlind() || !slices.EqualFunc(previous.GetEndpoints(), m.GetEndpoints(), func(a, b *schema.Endpoint) bool {
		return a.GetService() == b.GetService() && a.GetPhase() == b.GetPhase() &&
			a.GetInstance().GetId() == b.GetInstance().GetId() && a.GetInstance().GetBorn() == b.GetInstance().GetBorn()
	})
}

// isOutdated reports whether a beacon is not newer than the last accepted one.
func (p *peer) isOutdated(incarnation, number uint64) bool {
	return p.member != nil && p.member.GetIncarnation() == incarnation && p.number >= number || p.previousIncarnation == incarnation
}

// applyDelta updates the entry by a beacon that holds changes only. It replaces the record
// and the usages, since readers in other goroutines hold the present ones.
func (p *peer) applyDelta(m *schema.Member, beacon *schema.Beacon) {
	m.Address, m.Admin, m.Beacon = p.member.GetAddress(), p.member.GetAdmin(), p.member.GetBeacon()
	m.Domain, m.Region = p.member.GetDomain(), p.member.GetRegion()
	m.Digests, m.Packs = p.member.GetDigests(), p.member.GetPacks()
	p.member = m
	if len(beacon.GetUsages()) == 0 {
		return
	}
	changed := map[string]bool{}
	for _, u := range beacon.GetUsages() {
		changed[u.GetWorkspace()] = true
	}
	usages := slices.Clone(beacon.GetUsages())
	for _, u := range p.usages {
		if !changed[u.GetWorkspace()] {
			usages = append(usages, u)
		}
	}
	p.usages = usages
}

func (b *Beaconer) expire(now time.Time) {
	for name, p := range b.peers {
		age := b.age(p, now)
		if !p.silent && age > b.silenceTimeout() {
			p.silent = true
			b.dirty = true
			if p.member != nil {
				b.notifySilent(p.member)
			}
		}
		if age > peerRetention {
			delete(b.peers, name)
			b.dirty = true
		}
	}
}

// silenceTimeout is the time without a beacon after which a node is silent. It is longer
// with relays, so that nodes are not silent while a failed relay is replaced.
func (b *Beaconer) silenceTimeout() time.Duration {
	if b.relay.inUse {
		return relayedSilentIntervals * b.sendInterval()
	}
	return silentIntervals * b.sendInterval()
}

func (b *Beaconer) notifySilent(m *schema.Member) {
	for _, l := range b.listeners {
		l.NodeSilent(m)
	}
}

// publish stores copies of the table for readers in other goroutines.
func (b *Beaconer) publish() {
	members := map[string]*schema.Member{b.name: b.ownRecord()}
	usages := map[string][]*schema.Usage{}
	lastBeacons := map[string]*atomic.Int64{}
	unheard := 0
	for name, p := range b.peers {
		if p.member == nil {
			unheard++
			continue
		}
		usages[name] = p.usages
		lastBeacons[name] = p.lastBeacon
		m := p.member
		if p.silent && m.GetStatus() == schema.Status_STATUS_ALIVE {
			m = proto.CloneOf(m)
			m.Status = schema.Status_STATUS_FAILED
		}
		members[name] = m
	}
	view := gossiper.NewView(members)
	view.Known = max(view.Known+unheard, b.assumedNodes())
	b.view.Store(view)
	b.usages.Store(&usages)
	b.lastBeacons.Store(&lastBeacons)
	b.dirty = false
}

// assumedNodes returns the number of nodes that the fleet is assumed to have at least. A
// node that has just started knows few others, until it has the directory or their beacons.
func (b *Beaconer) assumedNodes() int {
	if b.listed || time.Since(b.started) > introductionTime {
		return 0
	}
	return maxAssumedNodes
}
