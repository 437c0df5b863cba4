package beaconer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

const (
	// relayThreshold is the size of a fleet from which beacons are relayed.
	relayThreshold = 32
	// groupSize is the largest number of nodes that share a relay.
	groupSize = 6
	// pacedGroup is the number of nodes to which a relay could send whole beacons at the
	// interval that sendInterval returns. It bounds the records that a node receives.
	pacedGroup = 20
	// lateIntervals is the number of intervals after which a beacon is late: the
	// interval itself, and the time at up to two relays.
	lateIntervals = 3
	// directIntervals is the number of intervals for which a node that asks for it
	// receives beacons directly.
	directIntervals = 10
	// maxLateShare is the share of nodes whose beacons may be late before the relay is
	// taken for failed, and distrustPeriod the time for which it is then avoided.
	maxLateShare   = 0.5
	distrustPeriod = 10 * time.Second
	// relayedSilentIntervals takes the place of silentIntervals where beacons are
	// relayed: a failed relay is noticed after lateIntervals, and nodes receive the
	// beacons of all others again two or three intervals later.
	relayedSilentIntervals = 8
	// maxDigestBytes limits the size of a datagram with relayed beacons.
	maxDigestBytes = 7 << 10
	// relayedBeaconBytes is the mean size of a relayed beacon.
	relayedBeaconBytes = 300
	// maxRelayedPerSecond bounds the datagrams that a relay sends.
	maxRelayedPerSecond = 600
	// carriers is the number of relays of another failure domain that take turns to receive
	// beacons for all of them, if there are at least minCarriedRelays.
	carriers, minCarriedRelays = 2, 2
	// flushesPerInterval is the number of times per interval that a relay passes on
	// beacons.
	flushesPerInterval = 2
)

// relayedDatagrams returns the number of datagrams, at most, that a relay sends per interval in
// a fleet of the given size, if it passes on whole beacons to pacedGroup nodes.
func relayedDatagrams(nodes int) int {
	return pacedGroup*(nodes*relayedBeaconBytes/maxDigestBytes+flushesPerInterval) + flushesPerInterval*nodes/pacedGroup
}

// relay is the state of a node as a relay and as a member of a group.
type relay struct {
	// inUse is true if this node sends its beacons through a relay: the node called name.
	inUse bool
	name  string
	// own is true if this node is its own relay.
	own bool
	// returnedAt is the time at which the relay last returned a beacon of this node.
	returnedAt time.Time
	// distrustedUntil holds relays that have failed.
	distrustedUntil map[string]time.Time
	// subscribers holds the time of the last request of each node to pass on its
	// beacon.
	subscribers map[string]time.Time
	// group and foreign hold shortened beacons to pass on: those of the group go to the
	// group and to other relays, those of other groups to the group.
	group, foreign []*schema.Relayed
	// flushTimer runs while flushScheduled is true.
	flushTimer     *time.Timer
	flushScheduled bool
}

// serves reports whether the node passes on beacons.
func (r *relay) serves() bool { return r.own || len(r.subscribers) > 0 }

// updateRelay decides whether and through which relay this node sends its beacons. The
// relays of a failure domain are the first of its nodes in the order of the hashes of their
// names. Nodes with different views may choose different ones, which works too.
func (b *Beaconer) updateRelay(now time.Time) {
	r := &b.relay
	late, candidates := b.checkPeers(now)
	maps.DeleteFunc(r.distrustedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	if r.inUse && (late || !r.own && now.Sub(r.returnedAt) > lateIntervals*b.sendInterval()) {
		r.distrustedUntil[r.name] = now.Add(distrustPeriod)
	}
	name := ""
	if len(candidates) > 0 {
		name = r.pick(candidates, b.name)
	}
	if name != r.name {
		r.returnedAt = now
	}
	served := r.serves()
	r.inUse, r.name, r.own = name != "", name, name == b.name
	if !served && r.serves() {
		// Other relays learn of this one.
		b.broadcast()
	}
}

// pick returns one of the candidates, if possible one that is trusted.
func (r *relay) pick(candidates []string, self string) string {
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	trusted := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool { return !r.distrustedUntil[name].IsZero() })
	if len(trusted) > 0 {
		candidates = trusted
	}
	groups := (len(candidates) + groupSize - 1) / groupSize
	relays, members := candidates[:groups], candidates[groups:]
	if slices.Contains(relays, self) {
		return self
	}
	if len(members) == 0 {
		return relays[0]
	}
	// A node that joins or leaves moves few others to another relay.
	rank, _ := slices.BinarySearchFunc(members, xxhash.Sum64String(self), func(name string, hash uint64) int {
		return cmp.Compare(xxhash.Sum64String(name), hash)
	})
	return relays[min(rank, len(members)-1)*groups/len(members)]
}

// checkPeers returns whether the beacons of most nodes are late, and the nodes that may
// serve as relay of this one: those of its failure domain, or all if it is alone
// there. There are none if beacons are not relayed, since the fleet is small, some
// node does not accept relayed beacons, or no other node is known.
func (b *Beaconer) checkPeers(now time.Time) (late bool, candidates []string) {
	known, fresh, relaying := 0, 0, false
	var local, all []string
	for name, p := range b.peers {
		if p.silent || p.member == nil {
			continue
		}
		if !p.member.GetDigests() {
			return false, nil
		}
		known++
		if b.isMissing(p, now) {
			continue
		}
		fresh++
		relaying = relaying || p.member.GetRelaying()
		if p.member.GetStatus() != schema.Status_STATUS_ALIVE {
			continue
		}
		all = append(all, name)
		if p.member.GetDomain() == b.self.GetDomain() {
			local = append(local, name)
		}
	}
	late = float64(known-fresh) > maxLateShare*float64(known)
	if fresh+1 < relayThreshold && !relaying || len(all) == 0 {
		return late, nil
	}
	if len(local) == 0 {
		return late, all
	}
	return late, append(local, b.name)
}

// sendToRelay sends a beacon to the relay. It reports whether the relay seems to
// work, that is, it has lately returned a beacon of this node.
func (b *Beaconer) sendToRelay(now time.Time) bool {
	if !b.relay.inUse {
		return false
	}
	full := b.number%fullEvery == 0 || b.number <= startupBeacons
	lean := b.relay.own || b.packsFor(b.peers[b.relay.name])
	datagram := b.encodeBeacon(beaconOptions{relay: true, delta: !full, base: full, lean: lean})
	if b.relay.own {
		b.keepForRelays(b.self, b.number, datagram)
		return true
	}
	b.send(b.peers[b.relay.name], reportBytes, datagram)
	return now.Sub(b.relay.returnedAt) <= lateIntervals*b.sendInterval()
}

// keepForRelays keeps a beacon of the group until the next flush.
func (b *Beaconer) keepForRelays(m *schema.Member, number uint64, datagram []byte) {
	entry := shorten(&schema.Relayed{Node: m.GetName(), Incarnation: m.GetIncarnation(), Number: number, Beacon: datagram})
	if entry == nil {
		return
	}
	b.relay.group = append(b.relay.group, entry)
	b.scheduleFlush()
}

// handleRelayed handles the beacon of another node. It reports whether to pass it on, if another
// relay asks for that.
func (b *Beaconer) handleRelayed(r *schema.Relayed, forGroup bool) bool {
	incarnation := b.fullIncarnation(r)
	if r.GetNode() == b.name {
		if incarnation == b.incarnation {
			b.relay.returnedAt = time.Now()
		}
		return false
	}
	p := b.peers[r.GetNode()]
	if p == nil || !p.isOutdated(incarnation, r.GetNumber()) {
		beacon := b.decodeRelayed(r)
		if beacon == nil {
			return false
		}
		b.applyBeacon(beacon.GetMember(), beacon)
	}
	return forGroup && b.takesForRelay(r.GetNode(), incarnation, r.GetNumber())
}

// handleDigest handles the relayed beacons of a datagram.
func (b *Beaconer) handleDigest(list []*schema.Relayed, datagram *schema.Beacon) {
	var taken []*schema.Relayed
	for _, r := range list {
		if !b.handleRelayed(r, datagram.GetRelay()) {
			continue
		}
		if len(datagram.GetPacked()) == 0 {
			r = shorten(r)
		}
		if r != nil {
			taken = append(taken, r)
		}
	}
	if len(taken) == 0 {
		return
	}
	b.relay.foreign = append(b.relay.foreign, taken...)
	b.scheduleFlush()
	if datagram.GetSpread() {
		b.sendRelayed(taken, b.otherRelays()[b.self.GetDomain()], digestHeader{relay: true})
	}
}

// takesForRelay reports whether a beacon is newer than those of the node that were passed
// on before, and records it. The node itself may have received it directly already.
func (b *Beaconer) takesForRelay(node string, incarnation, number uint64) bool {
	p := b.peers[node]
	if p == nil || p.member.GetIncarnation() != incarnation || number <= p.passedOn {
		return false
	}
	p.passedOn = number
	return true
}

// scheduleFlush schedules the next flush. Flushes are aligned with ticks, halfway and at
// the end of an interval, so that beacons that nodes send at the same time are passed on
// together.
func (b *Beaconer) scheduleFlush() {
	if !b.relay.flushScheduled {
		b.relay.flushScheduled = true
		b.relay.flushTimer.Reset(repeater.Align(0, b.sendInterval()/flushesPerInterval))
	}
}

// flush passes on the beacons that arrived since the last flush.
func (b *Beaconer) flush(now time.Time) {
	b.relay.flushScheduled = false
	for name, at := range b.relay.subscribers {
		if now.Sub(at) > lateIntervals*b.sendInterval() {
			delete(b.relay.subscribers, name)
		}
	}
	group, foreign := b.relay.group, b.relay.foreign
	b.relay.group, b.relay.foreign = nil, nil
	var subscribers []*peer
	for name := range b.relay.subscribers {
		if p := b.peers[name]; p != nil {
			subscribers = append(subscribers, p)
		}
	}
	b.sendRelayed(slices.Concat(group, foreign), subscribers, digestHeader{})
	for domain, relays := range b.otherRelays() {
		if carrier := b.carrier(domain, relays); carrier != nil {
			b.sendRelayed(group, []*peer{carrier}, digestHeader{relay: true, spread: true})
		} else {
			b.sendRelayed(group, relays, digestHeader{relay: true})
		}
	}
}

// otherRelays returns the other relays by failure domain.
func (b *Beaconer) otherRelays() map[string][]*peer {
	relays := map[string][]*peer{}
	for _, p := range b.peers {
		if !p.silent && p.member.GetRelaying() {
			relays[p.member.GetDomain()] = append(relays[p.member.GetDomain()], p)
		}
	}
	return relays
}

// carrier returns the relay of another failure domain that receives the beacons of the group
// for all relays there, or nil if each is to receive them itself. Two take turns, so that while
// one is lost, the domain still receives every other beacon.
func (b *Beaconer) carrier(domain string, relays []*peer) *peer {
	if domain == b.self.GetDomain() || len(relays) < minCarriedRelays {
		return nil
	}
	now := time.Now()
	var candidates []*peer
	for _, p := range relays {
		if !b.packsFor(p) {
			return nil
		}
		if !b.isMissing(p, now) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) < carriers {
		return nil
	}
	slices.SortFunc(candidates, func(x, y *peer) int {
		return cmp.Compare(xxhash.Sum64String(b.name+x.member.GetName()), xxhash.Sum64String(b.name+y.member.GetName()))
	})
	return candidates[b.ticks%carriers]
}
