package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhub/schema"
)

// probe is a ping whose ack is outstanding.
type probe struct {
	target string
	sent   time.Time
	// detectsFailure is true if the target becomes suspect when no ack arrives.
	detectsFailure bool
	// indirectSent is true once other nodes were asked to ping the target.
	indirectSent bool
	// origin is the address to which the ack is forwarded, if this node pings on
	// behalf of another one; originSequence is the sequence at that node.
	origin         string
	originSequence uint64
}

// tick runs once per interval.
func (g *Gossiper) tick() {
	g.ticks++
	now := time.Now()
	g.checkProbes(now)
	g.expire(now)
	g.expireReplaced(now)
	g.probeNext()
	g.pullConfirmations()
	if g.ticks%reconnectTicks == 0 || g.View().LiveCount() == 1 {
		g.reconnect()
	}
}

// checkProbes handles unanswered probes: it sends indirect probes after one
// interval and marks the target suspect after three.
func (g *Gossiper) checkProbes(now time.Time) {
	for sequence, p := range g.probes {
		waited := now.Sub(p.sent)
		if p.detectsFailure && !p.indirectSent && waited >= g.options.Interval {
			p.indirectSent = true
			g.sendIndirectProbes(sequence, p.target)
		}
		if waited < 3*g.options.Interval {
			continue
		}
		delete(g.probes, sequence)
		if r := g.table[p.target]; p.detectsFailure && r != nil && r.member.GetStatus() == schema.Status_STATUS_ALIVE {
			g.setStatus(r, schema.Status_STATUS_SUSPECT)
		}
	}
}

// probeNext pings the next live node in the shuffled probe order.
func (g *Gossiper) probeNext() {
	for range 2 {
		if len(g.probeOrder) == 0 {
			g.shuffle()
		}
		for len(g.probeOrder) > 0 {
			name := g.probeOrder[0]
			g.probeOrder = g.probeOrder[1:]
			if r := g.table[name]; r != nil && Live(r.member) && name != g.self.GetName() {
				g.ping(r.member.GetAddress(), name, true)
				return
			}
		}
	}
}

func (g *Gossiper) shuffle() {
	for name := range g.table {
		g.probeOrder = append(g.probeOrder, name)
	}
	slices.Sort(g.probeOrder)
	rand.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
}

// pullConfirmations pings the nodes from which this one receives confirmations:
// its parents, or for a watcher the watchers of some failure domains.
func (g *Gossiper) pullConfirmations() {
	v := g.View()
	if parents := v.Parents(g.self); len(parents) > 0 {
		// Every third pull goes to another parent, in case the first has failed.
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

// reconnect pings a failed node and a seed, so that the parts of the fleet find
// each other again after a partition.
func (g *Gossiper) reconnect() {
	var failed []string
	for _, r := range g.table {
		if r.member.GetStatus() == schema.Status_STATUS_FAILED {
			failed = append(failed, r.member.GetAddress())
		}
	}
	if len(failed) > 0 {
		g.ping(failed[rand.IntN(len(failed))], "", false)
	}
	g.pingSeed()
}

func (g *Gossiper) pingSeed() {
	if len(g.seeds) > 0 {
		g.ping(g.seeds[rand.IntN(len(g.seeds))], "", false)
	}
}

// pingRandomNodes pings up to pushFanout random live nodes.
func (g *Gossiper) pingRandomNodes() {
	for range pushFanout {
		g.shuffleIfEmpty()
		g.pingRandomNode()
	}
}

func (g *Gossiper) shuffleIfEmpty() {
	if len(g.probeOrder) == 0 {
		g.shuffle()
	}
}

func (g *Gossiper) pingRandomNode() {
	if len(g.probeOrder) == 0 {
		return
	}
	name := g.probeOrder[len(g.probeOrder)-1]
	g.probeOrder = g.probeOrder[:len(g.probeOrder)-1]
	if r := g.table[name]; r != nil && Live(r.member) && name != g.self.GetName() {
		g.ping(r.member.GetAddress(), name, false)
	}
}

// sendIndirectProbes asks other nodes to ping a target that did not answer.
func (g *Gossiper) sendIndirectProbes(sequence uint64, target string) {
	r := g.table[target]
	if r == nil {
		return
	}
	asked := 0
	for name, helper := range g.table {
		if asked == indirectProbes {
			return
		}
		if name == target || name == g.self.GetName() || !Live(helper.member) {
			continue
		}
		asked++
		body := &schema.Packet_Probe{Probe: &schema.Probe{Sequence: sequence, Target: r.member.GetAddress()}}
		g.send(helper.member.GetAddress(), &schema.Packet{Body: body})
	}
}

func (g *Gossiper) ping(address, target string, detectsFailure bool) {
	g.probeSequence++
	g.probes[g.probeSequence] = &probe{target: target, sent: time.Now(), detectsFailure: detectsFailure}
	if r := g.table[target]; r != nil && r.member.GetStatus() != schema.Status_STATUS_ALIVE {
		// The target must learn its recorded status, so that it can refute it.
		r.remainingSends = g.transmissions()
	}
	g.sendPing(address, g.probeSequence)
}

func (g *Gossiper) sendPing(address string, sequence uint64) {
	g.send(address, &schema.Packet{Body: &schema.Packet_Ping{Ping: &schema.Ping{Sequence: sequence}}})
}
