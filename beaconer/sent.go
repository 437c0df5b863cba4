package beaconer

import "sync/atomic"

// kind is what a datagram is sent for.
type kind int

// Kinds of datagrams: beacons and announcements to each node, reports to a relay, and digests of
// relays.
const (
	beaconBytes kind = iota
	announcementBytes
	reportBytes
	digestBytes
	kinds
)

// kindNames are the names of the kinds in the metrics.
var kindNames = [kinds]string{"beacons", "announcements", "reports", "digests"}

// sentBytes counts the bytes of the datagrams sent, by kind, to the own failure domain and to
// others.
type sentBytes struct {
	own, across [kinds]atomic.Int64
}

// send sends a datagram to a node.
func (b *Beaconer) send(p *peer, k kind, datagram []byte) {
	count := &b.sent.across[k]
	if p.member.GetDomain() == b.self.GetDomain() {
		count = &b.sent.own[k]
	}
	count.Add(int64(len(datagram)))
	b.transport.Send(p.address, datagram)
}

// SentBytes returns the bytes of the beacons sent, by kind, to the own failure domain and to
// others. A node without a beacon so far counts as one of another domain.
func (b *Beaconer) SentBytes() map[string]int64 {
	counts := make(map[string]int64, 2*kinds)
	for k, name := range kindNames {
		counts[name+"_own"], counts[name+"_across"] = b.sent.own[k].Load(), b.sent.across[k].Load()
	}
	return counts
}
