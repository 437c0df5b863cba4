package gossiper

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
)

func (g *Gossiper) send(address string, p *schema.Packet) {
	p.From = g.self.GetAddress()
	p.Version = g.confirmer.Version()
	p.Updates = g.selectUpdates()
	datagram, err := proto.Marshal(p)
	if err != nil {
		return
	}
	g.transport.Send(address, datagram)
}

// selectUpdates returns the records with the most remaining transmissions, up to
// maxUpdateBytes. The sender's own record is always included, so that a node that
// does not know the sender learns of it.
func (g *Gossiper) selectUpdates() []*schema.Member {
	selected := []*schema.Member{g.self}
	size := proto.Size(g.self)
	var pending []*record
	for _, r := range g.table {
		if r.remainingSends > 0 && r.member.GetName() != g.self.GetName() {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int { return cmp.Compare(b.remainingSends, a.remainingSends) })
	for _, r := range pending {
		size += proto.Size(r.member)
		if size > maxUpdateBytes {
			break
		}
		r.remainingSends--
		selected = append(selected, r.member)
	}
	return selected
}

func (g *Gossiper) handle(datagram []byte) {
	p := &schema.Packet{}
	if proto.Unmarshal(datagram, p) != nil {
		return
	}
	for _, m := range p.GetUpdates() {
		g.merge(m)
	}
	g.postponeFailure(p)
	if p.GetVersion() > g.confirmer.Version() {
		g.puller.Fetch(p.GetFrom())
	}
	switch body := p.GetBody().(type) {
	case *schema.Packet_Ping:
		g.sendAck(p.GetFrom(), body.Ping.GetSequence())
	case *schema.Packet_Ack:
		g.handleAck(p, body.Ack)
	case *schema.Packet_Probe:
		g.pingOnBehalf(p.GetFrom(), body.Probe)
	}
}

func (g *Gossiper) sendAck(address string, sequence uint64) {
	ack := &schema.Ack{Sequence: sequence, Stamp: g.confirmer.Stamp(), Digest: g.View().Digest}
	g.send(address, &schema.Packet{Body: &schema.Packet_Ack{Ack: ack}})
}

// pingOnBehalf pings the target of an indirect probe on behalf of its origin.
func (g *Gossiper) pingOnBehalf(origin string, request *schema.Probe) {
	g.probeSequence++
	g.probes[g.probeSequence] = &probe{sent: time.Now(), origin: origin, originSequence: request.GetSequence()}
	g.sendPing(request.GetTarget(), g.probeSequence)
}

func (g *Gossiper) handleAck(p *schema.Packet, ack *schema.Ack) {
	pending := g.probes[ack.GetSequence()]
	if pending == nil {
		return
	}
	delete(g.probes, ack.GetSequence())
	if pending.origin != "" {
		// The ack is forwarded without a stamp, whose age would be wrong.
		forwarded := &schema.Ack{Sequence: pending.originSequence}
		g.send(pending.origin, &schema.Packet{Body: &schema.Packet_Ack{Ack: forwarded}})
		return
	}
	if ack.GetStamp() == nil {
		return
	}
	if sender := g.sender(p); sender != nil {
		g.confirmer.Observe(ack.GetStamp(), sender.GetDomain(), pending.sent)
	}
	g.syncIfDifferent(p.GetFrom(), ack.GetDigest())
}

// postponeFailure restarts the suspicion period of a suspect node when a packet
// arrives from that node itself.
func (g *Gossiper) postponeFailure(p *schema.Packet) {
	m := g.sender(p)
	r := g.table[m.GetName()]
	if r != nil && r.member.GetStatus() == schema.Status_STATUS_SUSPECT && r.member.GetIncarnation() == m.GetIncarnation() {
		r.statusChanged = time.Now()
	}
}

// sender returns the record of the node that sent a packet.
func (g *Gossiper) sender(p *schema.Packet) *schema.Member {
	for _, m := range p.GetUpdates() {
		if m.GetAddress() == p.GetFrom() {
			return m
		}
	}
	return nil
}

// syncIfDifferent starts a full table exchange with a node whose digest differs.
// The minimum interval gives piggybacked changes time to remove the difference.
func (g *Gossiper) syncIfDifferent(address string, digest uint64) {
	if digest == g.View().Digest || g.dirty {
		return
	}
	if time.Since(g.lastSync) < minSyncInterval && len(g.table) > 1 {
		return
	}
	g.lastSync = time.Now()
	g.puller.Sync(address)
}

// merge stores a record if it supersedes the one in the table.
func (g *Gossiper) merge(m *schema.Member) {
	if m.GetName() == g.self.GetName() {
		g.refute(m)
		return
	}
	if r := g.table[m.GetName()]; r != nil && !supersedes(m, r.member) {
		if supersedes(r.member, m) {
			// The sender has an older record; send it this one.
			r.remainingSends = max(r.remainingSends, 1)
		}
		return
	}
	g.store(m)
}

// refute overrides a record of this node that supersedes its own, such as a
// suspicion.
func (g *Gossiper) refute(m *schema.Member) {
	if m.GetIncarnation() < g.self.GetIncarnation() || !supersedes(m, g.self) {
		return
	}
	status := g.self.GetStatus()
	g.updateSelf(func(self *schema.Member) {
		self.Incarnation = max(self.GetIncarnation(), m.GetIncarnation())
		if m.GetIncarnation() > g.self.GetIncarnation() {
			// Another instance of this node is known; this one must supersede it.
			self.Incarnation = m.GetIncarnation() + 1
		}
		self.Sequence = max(self.GetSequence(), m.GetSequence())
		self.Status = status
	})
	// Others must learn of the refutation before their suspicion period ends.
	g.pingRandomNodes()
}

// updateSelf changes the record of this node and schedules it for sending.
func (g *Gossiper) updateSelf(mutate func(*schema.Member)) {
	m := proto.CloneOf(g.self)
	mutate(m)
	m.Sequence++
	g.self = m
	g.incarnation.Store(m.GetIncarnation())
	g.store(m)
	g.refreshView()
}

func (g *Gossiper) store(m *schema.Member) {
	r := &record{member: m, statusChanged: time.Now()}
	if old := g.table[m.GetName()]; old != nil {
		if old.member.GetStatus() == m.GetStatus() {
			r.statusChanged = old.statusChanged
		}
		if old.member.GetIncarnation() < m.GetIncarnation() && old.member.GetStatus() != schema.Status_STATUS_LEFT {
			g.replaced[Instance{m.GetName(), old.member.GetIncarnation()}] = time.Now()
		}
	}
	g.table[m.GetName()] = r
	r.remainingSends = g.transmissions()
	g.dirty = true
}

// supersedes reports whether record a replaces record b.
func supersedes(a, b *schema.Member) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(a.GetStatus(), b.GetStatus()),
	) > 0
}
