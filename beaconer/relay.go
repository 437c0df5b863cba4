package beaconer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

const (
	// relayThreshold is the size of a fleet from which beacons are relayed.
	relayThreshold = 32
	// groupSize is the largest number of nodes that share a relay.
	groupSize = 20
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
	// flushesPerInterval is the number of times per interval that a relay passes on
	// beacons.
	flushesPerInterval = 2
)

// relayedDatagrams returns the number of datagrams that a relay sends per interval in
// a fleet of the given size.
func relayedDatagrams(nodes int) int {
	return groupSize*(nodes*relayedBeaconBytes/maxDigestBytes+flushesPerInterval) + flushesPerInterval*nodes/groupSize
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
	// group and foreign hold beacons to pass on: those of the group go to the group and
	// to other relays, those of other groups to the group.
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
	return candidates[xxhash.Sum64String(self)%uint64(groups)]
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
	datagram := b.encodeBeacon(beaconOptions{relay: true, delta: !full})
	if b.relay.own {
		b.relay.group = append(b.relay.group, newRelayed(b.self, b.number, datagram))
		b.scheduleFlush()
		return true
	}
	b.transport.Send(b.peers[b.relay.name].address, datagram)
	return now.Sub(b.relay.returnedAt) <= lateIntervals*b.sendInterval()
}

func newRelayed(m *schema.Member, number uint64, datagram []byte) *schema.Relayed {
	return &schema.Relayed{Node: m.GetName(), Incarnation: m.GetIncarnation(), Number: number, Beacon: datagram}
}

// handleRelayed handles the beacon of another node, and keeps it for the group if another
// relay has sent it.
func (b *Beaconer) handleRelayed(r *schema.Relayed, forGroup bool) {
	if r.GetNode() == b.name {
		if r.GetIncarnation() == b.incarnation {
			b.relay.returnedAt = time.Now()
		}
		return
	}
	p := b.peers[r.GetNode()]
	if p == nil || !p.isOutdated(r.GetIncarnation(), r.GetNumber()) {
		beacon := &schema.Beacon{}
		if err := proto.Unmarshal(r.GetBeacon(), beacon); err != nil || beacon.GetMember().GetName() != r.GetNode() {
			return
		}
		b.applyBeacon(beacon.GetMember(), beacon)
	}
	if forGroup && b.takesForRelay(r.GetNode(), r.GetIncarnation(), r.GetNumber()) {
		b.relay.foreign = append(b.relay.foreign, r)
		b.scheduleFlush()
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
	for _, digest := range b.encodeDigests(slices.Concat(group, foreign), false) {
		for name := range b.relay.subscribers {
			if p := b.peers[name]; p != nil {
				b.transport.Send(p.address, digest)
			}
		}
	}
	for _, digest := range b.encodeDigests(group, true) {
		for _, p := range b.peers {
			if !p.silent && p.member.GetRelaying() {
				b.transport.Send(p.address, digest)
			}
		}
	}
}

// encodeDigests returns datagrams with the given beacons.
func (b *Beaconer) encodeDigests(list []*schema.Relayed, forGroup bool) [][]byte {
	var digests [][]byte
	for len(list) > 0 {
		size, n := 0, 0
		for n < len(list) && (n == 0 || size+proto.Size(list[n]) <= maxDigestBytes) {
			size += proto.Size(list[n])
			n++
		}
		digests = append(digests, b.encode(&schema.Beacon{Relay: forGroup, Relayed: list[:n]}))
		list = list[n:]
	}
	return digests
}
