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
	p.Updates = g.updates()
	datagram, err := proto.Marshal(p)
	if err != nil {
		return
	}
	g.transport.Send(address, datagram)
}

// updates returns the records that were passed on least often. The sender's
// own record always comes along, so that a node met for the first time learns
// it.
func (g *Gossiper) updates() []*schema.Member {
	chosen := []*schema.Member{g.self}
	size := proto.Size(g.self)
	var waiting []*record
	for _, r := range g.table {
		if r.sends > 0 && r.member.GetName() != g.self.GetName() {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *record) int { return cmp.Compare(b.sends, a.sends) })
	for _, r := range waiting {
		size += proto.Size(r.member)
		if size > packetLimit {
			break
		}
		r.sends--
		chosen = append(chosen, r.member)
	}
	return chosen
}

func (g *Gossiper) handle(datagram []byte) {
	p := &schema.Packet{}
	if proto.Unmarshal(datagram, p) != nil {
		return
	}
	for _, m := range p.GetUpdates() {
		g.merge(m)
	}
	g.heard(p)
	if p.GetVersion() > g.confirmer.Version() {
		g.puller.Fetch(p.GetFrom())
	}
	switch body := p.GetBody().(type) {
	case *schema.Packet_Ping:
		g.answer(p.GetFrom(), body.Ping.GetSequence())
	case *schema.Packet_Ack:
		g.acknowledge(p, body.Ack)
	case *schema.Packet_Probe:
		g.pingFor(p.GetFrom(), body.Probe)
	}
}

func (g *Gossiper) answer(address string, number uint64) {
	ack := &schema.Ack{Sequence: number, Stamp: g.confirmer.Stamp(), Digest: g.View().Digest}
	g.send(address, &schema.Packet{Body: &schema.Packet_Ack{Ack: ack}})
}

// pingFor pings a node in place of another one.
func (g *Gossiper) pingFor(origin string, request *schema.Probe) {
	g.sequence++
	g.probes[g.sequence] = &probe{sent: time.Now(), origin: origin, number: request.GetSequence()}
	g.sendPing(request.GetTarget(), g.sequence)
}

func (g *Gossiper) acknowledge(p *schema.Packet, ack *schema.Ack) {
	waiting := g.probes[ack.GetSequence()]
	if waiting == nil {
		return
	}
	delete(g.probes, ack.GetSequence())
	if waiting.origin != "" {
		// Passes the sign of life on without a stamp, whose age would be wrong.
		forwarded := &schema.Ack{Sequence: waiting.number}
		g.send(waiting.origin, &schema.Packet{Body: &schema.Packet_Ack{Ack: forwarded}})
		return
	}
	if ack.GetStamp() == nil {
		return
	}
	if sender := g.sender(p); sender != nil {
		g.confirmer.Observe(ack.GetStamp(), sender.GetDomain(), waiting.sent)
	}
	g.compare(p.GetFrom(), ack.GetDigest())
}

// heard puts the failure of a suspect node off that was heard from itself.
func (g *Gossiper) heard(p *schema.Packet) {
	m := g.sender(p)
	r := g.table[m.GetName()]
	if r != nil && r.member.GetStatus() == schema.Status_STATUS_SUSPECT && r.member.GetIncarnation() == m.GetIncarnation() {
		r.changed = time.Now()
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

// compare exchanges whole tables with a node whose table differs, if the
// changes on probes have not evened that out.
func (g *Gossiper) compare(address string, digest uint64) {
	if digest == g.View().Digest || g.dirty {
		return
	}
	if time.Since(g.synced) < syncPause && len(g.table) > 1 {
		return
	}
	g.synced = time.Now()
	g.puller.Sync(address)
}

// merge takes in a record if it is newer than the one in the table.
func (g *Gossiper) merge(m *schema.Member) {
	if m.GetName() == g.self.GetName() {
		g.defend(m)
		return
	}
	if r := g.table[m.GetName()]; r != nil && !newer(m, r.member) {
		if newer(r.member, m) {
			// The sender has an older record; it gets this one in return.
			r.sends = max(r.sends, 1)
		}
		return
	}
	g.store(m)
}

// defend refutes records that call this node anything but alive.
func (g *Gossiper) defend(m *schema.Member) {
	if m.GetIncarnation() < g.self.GetIncarnation() || !newer(m, g.self) {
		return
	}
	left := g.self.GetStatus()
	g.change(func(self *schema.Member) {
		self.Incarnation = max(self.GetIncarnation(), m.GetIncarnation())
		if m.GetIncarnation() > g.self.GetIncarnation() {
			// Another start of this node is known; this one must differ from it.
			self.Incarnation = m.GetIncarnation() + 1
		}
		self.Sequence = max(self.GetSequence(), m.GetSequence())
		self.Status = left
	})
	// Others must hear of it before their suspicion ends.
	g.pingSome()
}

// change alters the record of this node and passes it on.
func (g *Gossiper) change(alter func(*schema.Member)) {
	m := proto.CloneOf(g.self)
	alter(m)
	m.Sequence++
	g.self = m
	g.incarnation.Store(m.GetIncarnation())
	g.store(m)
	g.refreshView()
}

func (g *Gossiper) store(m *schema.Member) {
	r := &record{member: m, changed: time.Now()}
	if old := g.table[m.GetName()]; old != nil {
		if old.member.GetStatus() == m.GetStatus() {
			r.changed = old.changed
		}
		if old.member.GetIncarnation() < m.GetIncarnation() && old.member.GetStatus() != schema.Status_STATUS_LEFT {
			g.replaced[Instance{m.GetName(), old.member.GetIncarnation()}] = time.Now()
		}
	}
	g.table[m.GetName()] = r
	r.sends = g.transmissions()
	g.dirty = true
}

// newer tells whether record a replaces record b.
func newer(a, b *schema.Member) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(a.GetStatus(), b.GetStatus()),
	) > 0
}
