package beaconer

import (
	"math"
	"slices"
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/schema"
)

const (
	// maxUnpackedBytes limits the size of an unpacked Pack.
	maxUnpackedBytes = 1 << 20
	// maxPackedEntries is the number of beacons after which a Pack is divided.
	maxPackedEntries = 200
	// incarnationMask selects the part of the incarnation that a shortened delta carries.
	incarnationMask = 1<<16 - 1
	// keptMantissaBits and durationStep are the precision of loads and times in a Pack. What
	// is left out is zero, which compresses well.
	keptMantissaBits = 7
	durationStep     = 1 << 14 * time.Nanosecond
)

// pack compresses shortened beacons.
func pack(list []*schema.Relayed) ([]byte, error) {
	data, err := proto.Marshal(&schema.Pack{Relayed: list})
	if err != nil {
		return nil, err
	}
	return s2.Encode(nil, data), nil
}

// unpack returns the shortened beacons of a Pack, or none if it is malformed.
func unpack(packed []byte) []*schema.Relayed {
	if n, err := s2.DecodedLen(packed); err != nil || n > maxUnpackedBytes {
		return nil
	}
	data, err := s2.Decode(nil, packed)
	p := &schema.Pack{}
	if err != nil || proto.Unmarshal(data, p) != nil {
		return nil
	}
	return p.GetRelayed()
}

// shorten returns a relayed beacon without what the entry around it or an earlier beacon tells
// the receiver, and with less precise loads. It returns nil if the beacon is malformed.
func shorten(r *schema.Relayed) *schema.Relayed {
	beacon := &schema.Beacon{}
	if err := proto.Unmarshal(r.GetBeacon(), beacon); err != nil || beacon.GetMember() == nil {
		return nil
	}
	m, incarnation := beacon.GetMember(), r.GetIncarnation()
	m.Name, m.Incarnation, beacon.Number, beacon.Relay = "", 0, 0, false
	if beacon.GetDelta() {
		incarnation &= incarnationMask
		m.Digests, m.Packs = false, false
	}
	roundBeacon(beacon)
	data, err := proto.Marshal(beacon)
	if err != nil {
		return nil
	}
	return &schema.Relayed{Node: r.GetNode(), Incarnation: incarnation, Number: r.GetNumber(), Beacon: data}
}

// decodeRelayed returns a relayed beacon, shortened or not, and nil if it is malformed.
func (b *Beaconer) decodeRelayed(r *schema.Relayed) *schema.Beacon {
	beacon := &schema.Beacon{}
	if err := proto.Unmarshal(r.GetBeacon(), beacon); err != nil || beacon.GetMember() == nil {
		return nil
	}
	if m := beacon.GetMember(); m.GetName() == "" {
		m.Name, m.Incarnation, beacon.Number = r.GetNode(), b.fullIncarnation(r), r.GetNumber()
	}
	if beacon.GetMember().GetName() != r.GetNode() {
		return nil
	}
	return beacon
}

// fullIncarnation returns the incarnation of a relayed beacon. A shortened delta carries a part
// of it, which is enough to find the beacons to which it applies.
func (b *Beaconer) fullIncarnation(r *schema.Relayed) uint64 {
	known := b.incarnation
	if p := b.peers[r.GetNode()]; p != nil {
		known = p.member.GetIncarnation()
	}
	if r.GetIncarnation() == known&incarnationMask {
		return known
	}
	return r.GetIncarnation()
}

// expand returns a relayed beacon as nodes expect it that do not accept packed ones, or nil.
func (b *Beaconer) expand(r *schema.Relayed) *schema.Relayed {
	beacon := b.decodeRelayed(r)
	p := b.peers[r.GetNode()]
	if beacon == nil {
		return nil
	}
	m := beacon.GetMember()
	if p != nil && beacon.GetDelta() && p.member.GetIncarnation() == m.GetIncarnation() {
		restoreEndpoints(m, p.member)
	}
	data, err := proto.Marshal(beacon)
	if err != nil {
		return nil
	}
	return &schema.Relayed{Node: r.GetNode(), Incarnation: m.GetIncarnation(), Number: r.GetNumber(), Beacon: data}
}

// restoreEndpoints adds to the upstreams of a delta what an earlier beacon has told of them.
func restoreEndpoints(m, previous *schema.Member) {
	known := previous.GetEndpoints()
	for i, e := range m.GetEndpoints() {
		if e.GetService() != "" {
			continue
		}
		if len(known) != len(m.GetEndpoints()) {
			m.Endpoints = known
			return
		}
		e.Service, e.Instance = known[i].GetService(), known[i].GetInstance()
	}
}

func roundBeacon(beacon *schema.Beacon) {
	for _, e := range beacon.GetMember().GetEndpoints() {
		e.Busy, e.Failing, e.Rejecting, e.Pace = round(e.GetBusy()), round(e.GetFailing()), round(e.GetRejecting()), round(e.GetPace())
		e.Latency = roundDuration(e.GetLatency())
	}
	for _, u := range beacon.GetUsages() {
		u.Arrivals = round(u.GetArrivals())
	}
	for _, f := range beacon.GetInflows() {
		f.Offered, f.Admitted = round(f.GetOffered()), round(f.GetAdmitted())
	}
	for _, p := range beacon.GetProfiles() {
		p.Busy = roundDuration(p.GetBusy())
	}
}

// round keeps the first bits of a number.
func round(value float32) float32 {
	const dropped = 23 - keptMantissaBits
	return math.Float32frombits((math.Float32bits(value) + 1<<(dropped-1)) &^ (1<<dropped - 1))
}

func roundDuration(d *durationpb.Duration) *durationpb.Duration {
	if rounded := d.AsDuration().Round(durationStep); rounded > 0 {
		return durationpb.New(rounded)
	}
	return d
}

// packsFor reports whether a node is sent packed beacons.
func (b *Beaconer) packsFor(p *peer) bool { return b.self.GetPacks() && p.member.GetPacks() }

// digestHeader selects what the receiver of relayed beacons is asked for: to pass them on to
// its group, and to the other relays of its failure domain.
type digestHeader struct{ relay, spread bool }

// sendRelayed sends shortened beacons, packed where the receiver accepts it.
func (b *Beaconer) sendRelayed(list []*schema.Relayed, receivers []*peer, h digestHeader) {
	if len(list) == 0 {
		return
	}
	var packed, plain [][]byte
	for _, p := range receivers {
		datagrams, encode := &plain, b.encodeDigests
		if b.packsFor(p) {
			datagrams, encode = &packed, b.encodePacks
		}
		if *datagrams == nil {
			*datagrams = encode(list, h)
		}
		for _, d := range *datagrams {
			b.send(p, digestBytes, d)
		}
	}
}

// encodePacks returns datagrams with the given shortened beacons.
func (b *Beaconer) encodePacks(list []*schema.Relayed, h digestHeader) [][]byte {
	var datagrams [][]byte
	for chunk := range slices.Chunk(list, maxPackedEntries) {
		packed, err := pack(chunk)
		if err != nil {
			continue
		}
		if len(packed) > maxDigestBytes && len(chunk) > 1 {
			half := len(chunk) / 2
			datagrams = append(append(datagrams, b.encodePacks(chunk[:half], h)...), b.encodePacks(chunk[half:], h)...)
			continue
		}
		datagrams = append(datagrams, b.encode(&schema.Beacon{Relay: h.relay, Spread: h.spread, Packed: packed}))
	}
	return datagrams
}

// encodeDigests returns datagrams with the given beacons for nodes that accept no packed ones.
func (b *Beaconer) encodeDigests(shortened []*schema.Relayed, h digestHeader) [][]byte {
	var list []*schema.Relayed
	for _, r := range shortened {
		if full := b.expand(r); full != nil {
			list = append(list, full)
		}
	}
	var digests [][]byte
	for len(list) > 0 {
		size, n := 0, 0
		for n < len(list) && (n == 0 || size+proto.Size(list[n]) <= maxDigestBytes) {
			size += proto.Size(list[n])
			n++
		}
		digests = append(digests, b.encode(&schema.Beacon{Relay: h.relay, Relayed: list[:n]}))
		list = list[n:]
	}
	return digests
}
