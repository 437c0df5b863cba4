package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhub/schema"
)

// probe is a ping that waits for its answer.
type probe struct {
	target  string
	sent    time.Time
	judged  bool
	relayed bool
	// origin is the address that wants the answer, if another node does.
	origin string
	number uint64
}

// tick runs once at each interval.
func (g *Gossiper) tick() {
	g.ticks++
	now := time.Now()
	g.judge(now)
	g.expire(now)
	g.forgetStarts(now)
	g.probeNext()
	g.pull()
	if g.ticks%reconnectTicks == 0 || g.View().LiveCount() == 1 {
		g.reconnect()
	}
}

// judge acts on probes that were not answered.
func (g *Gossiper) judge(now time.Time) {
	for number, p := range g.probes {
		waited := now.Sub(p.sent)
		if p.judged && !p.relayed && waited >= g.options.Interval {
			p.relayed = true
			g.relay(number, p.target)
		}
		if waited < 3*g.options.Interval {
			continue
		}
		delete(g.probes, number)
		if r := g.table[p.target]; p.judged && r != nil && r.member.GetStatus() == schema.Status_STATUS_ALIVE {
			g.setStatus(r, schema.Status_STATUS_SUSPECT)
		}
	}
}

// probeNext pings the next node in a shuffled order of all live nodes.
func (g *Gossiper) probeNext() {
	for range 2 {
		if len(g.order) == 0 {
			g.shuffle()
		}
		for len(g.order) > 0 {
			name := g.order[0]
			g.order = g.order[1:]
			if r := g.table[name]; r != nil && Live(r.member) && name != g.self.GetName() {
				g.ping(r.member.GetAddress(), name, true)
				return
			}
		}
	}
}

func (g *Gossiper) shuffle() {
	for name := range g.table {
		g.order = append(g.order, name)
	}
	slices.Sort(g.order)
	rand.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
}

// pull asks the nodes from which this one takes confirmations.
func (g *Gossiper) pull() {
	v := g.View()
	if parents := v.Parents(g.self); len(parents) > 0 {
		// Every third pull goes to another node, in case the first is lost.
		p := parents[0]
		if g.ticks%3 == 0 {
			p = parents[1+g.ticks/3%2]
		}
		g.ping(p.GetAddress(), p.GetName(), false)
		return
	}
	domains := v.Domains()
	for i := range min(len(domains), pullsPerTick) {
		watchers := v.Watchers(domains[(g.ticks*pullsPerTick+i)%len(domains)])
		w := watchers[g.ticks%len(watchers)]
		if w.GetName() != g.self.GetName() {
			g.ping(w.GetAddress(), w.GetName(), false)
		}
	}
}

// reconnect pings a node that was lost, so that separated parts of the fleet
// find each other again.
func (g *Gossiper) reconnect() {
	var lost []string
	for _, r := range g.table {
		if r.member.GetStatus() == schema.Status_STATUS_FAILED {
			lost = append(lost, r.member.GetAddress())
		}
	}
	if len(lost) > 0 {
		g.ping(lost[rand.IntN(len(lost))], "", false)
	}
	g.pingSeed()
}

func (g *Gossiper) pingSeed() {
	if len(g.seeds) > 0 {
		g.ping(g.seeds[rand.IntN(len(g.seeds))], "", false)
	}
}

// pingSome pings a few random live nodes.
func (g *Gossiper) pingSome() {
	for range pushes {
		g.shuffleIfEmpty()
		g.probeUnjudged()
	}
}

func (g *Gossiper) shuffleIfEmpty() {
	if len(g.order) == 0 {
		g.shuffle()
	}
}

func (g *Gossiper) probeUnjudged() {
	if len(g.order) == 0 {
		return
	}
	name := g.order[len(g.order)-1]
	g.order = g.order[:len(g.order)-1]
	if r := g.table[name]; r != nil && Live(r.member) && name != g.self.GetName() {
		g.ping(r.member.GetAddress(), name, false)
	}
}

// relay asks other nodes to ping one that did not answer.
func (g *Gossiper) relay(number uint64, target string) {
	r := g.table[target]
	if r == nil {
		return
	}
	asked := 0
	for name, helper := range g.table {
		if asked == relays {
			return
		}
		if name == target || name == g.self.GetName() || !Live(helper.member) {
			continue
		}
		asked++
		body := &schema.Packet_Probe{Probe: &schema.Probe{Sequence: number, Target: r.member.GetAddress()}}
		g.send(helper.member.GetAddress(), &schema.Packet{Body: body})
	}
}

func (g *Gossiper) ping(address, target string, judged bool) {
	g.sequence++
	g.probes[g.sequence] = &probe{target: target, sent: time.Now(), judged: judged}
	if r := g.table[target]; r != nil && r.member.GetStatus() != schema.Status_STATUS_ALIVE {
		// The node learns first what is held against it.
		r.sends = g.transmissions()
	}
	g.sendPing(address, g.sequence)
}

func (g *Gossiper) sendPing(address string, number uint64) {
	g.send(address, &schema.Packet{Body: &schema.Packet_Ping{Ping: &schema.Ping{Sequence: number}}})
}
