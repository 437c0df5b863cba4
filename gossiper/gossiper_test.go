package gossiper_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/schema"
)

const (
	alive  = schema.Status_STATUS_ALIVE
	left   = schema.Status_STATUS_LEFT
	failed = schema.Status_STATUS_FAILED
)

// inFleet runs a test on a fleet that has formed.
func inFleet(t *testing.T, count, domains int, test func(g *WithT, n *network, peers []*peer)) {
	synctest.Test(t, func(t *testing.T) {
		names := make([]string, domains)
		for i := range names {
			names[i] = string(rune('a' + i))
		}
		n := newNetwork(names...)
		peers := n.fleet(t, count, domains)
		time.Sleep(30 * time.Second)
		g := NewWithT(t)
		for _, p := range peers {
			g.Expect(p.gossiper.View().LiveCount()).To(Equal(count))
			g.Expect(p.confirmer.Fresh()).To(BeTrue())
		}
		test(g, n, peers)
		for _, p := range peers {
			p.cancel()
		}
		time.Sleep(5 * time.Second)
	})
}

func TestKilledNodeIsFailed(t *testing.T) {
	inFleet(t, 20, 4, func(g *WithT, n *network, peers []*peer) {
		peers[7].cancel()
		n.set(func() { delete(n.nodes, "node-007") })
		time.Sleep(30 * time.Second)
		for i, p := range peers {
			if i != 7 {
				g.Expect(p.sees("node-007")).To(Equal(failed))
				g.Expect(p.gossiper.View().LiveCount()).To(Equal(19))
			}
		}
	})
}

func TestLeavingNodeIsGoneAtOnce(t *testing.T) {
	inFleet(t, 20, 4, func(g *WithT, _ *network, peers []*peer) {
		peers[7].gossiper.Leave()
		peers[7].cancel()
		time.Sleep(3 * time.Second)
		for i, p := range peers {
			if i != 7 {
				g.Expect(p.sees("node-007")).To(Equal(left))
			}
		}
	})
}

// TestFrozenNodeReturns freezes a node past every timeout and thaws it.
func TestFrozenNodeReturns(t *testing.T) {
	inFleet(t, 20, 4, func(g *WithT, n *network, peers []*peer) {
		n.set(func() { peers[7].frozen = true })
		time.Sleep(30 * time.Second)
		g.Expect(peers[3].sees("node-007")).To(Equal(failed))
		g.Expect(peers[7].confirmer.Fresh()).To(BeFalse(), "a node that is cut off must not trust its state")
		n.set(func() { peers[7].frozen = false })
		time.Sleep(30 * time.Second)
		for _, p := range peers {
			g.Expect(p.sees("node-007")).To(Equal(alive))
		}
		g.Expect(peers[7].confirmer.Fresh()).To(BeTrue())
	})
}

// TestRestartUnderTheSameName starts a node anew without notice.
func TestRestartUnderTheSameName(t *testing.T) {
	inFleet(t, 12, 3, func(g *WithT, n *network, peers []*peer) {
		peers[5].cancel()
		again := n.start(t, "node-005", "c", 2, "node-000")
		time.Sleep(15 * time.Second)
		for i, p := range peers {
			if i == 5 {
				continue
			}
			g.Expect(p.gossiper.View().Members["node-005"].GetIncarnation()).To(Equal(uint64(2)))
			g.Expect(p.sees("node-005")).To(Equal(alive))
			g.Expect(p.gossiper.View().Replaced).To(ContainElement(HaveField("Name", "node-005")))
		}
		again.cancel()
	})
}

// TestLossDoesNotFlap loses one datagram in ten for ten minutes.
func TestLossDoesNotFlap(t *testing.T) {
	inFleet(t, 20, 4, func(g *WithT, n *network, peers []*peer) {
		n.set(func() { n.loss = 0.1 })
		for range 600 {
			time.Sleep(time.Second)
			for _, p := range peers {
				g.Expect(p.gossiper.View().LiveCount()).To(Equal(20))
				g.Expect(p.confirmer.Fresh()).To(BeTrue())
			}
		}
	})
}

// TestDomainsApartAndJoined separates a domain that reaches the platform: both
// sides go on and find each other again.
func TestDomainsApartAndJoined(t *testing.T) {
	inFleet(t, 21, 3, func(g *WithT, n *network, peers []*peer) {
		n.set(func() {
			for i, p := range peers {
				n.group[p.address] = i % 3 / 2
			}
		})
		time.Sleep(time.Hour)
		g.Expect(peers[0].gossiper.View().LiveCount()).To(Equal(14))
		g.Expect(peers[2].gossiper.View().LiveCount()).To(Equal(7))
		g.Expect(peers[0].confirmer.Fresh()).To(BeTrue())
		g.Expect(peers[2].confirmer.Fresh()).To(BeTrue())
		n.set(func() { clear(n.group) })
		time.Sleep(time.Minute)
		for _, p := range peers {
			g.Expect(p.gossiper.View().LiveCount()).To(Equal(21))
		}
	})
}

// TestPlatformDown tells an outage for all, in which the fleet goes on, from a
// domain that is cut off, which stops.
func TestPlatformDown(t *testing.T) {
	inFleet(t, 21, 3, func(g *WithT, n *network, peers []*peer) {
		n.set(func() { n.down = true })
		for range 60 {
			time.Sleep(10 * time.Second)
			for _, p := range peers {
				g.Expect(p.confirmer.Fresh()).To(BeTrue(), "%s during the outage", p.address)
			}
		}
		n.set(func() {
			for i, p := range peers {
				n.group[p.address] = i % 3 / 2
			}
		})
		time.Sleep(2 * freshness)
		for _, p := range peers {
			g.Expect(p.confirmer.Fresh()).To(BeFalse(), "%s can't tell whether keys were withdrawn", p.address)
		}
		n.set(func() { clear(n.group) })
		time.Sleep(time.Minute)
		for _, p := range peers {
			g.Expect(p.confirmer.Fresh()).To(BeTrue())
		}
	})
}

// TestNewStateReachesAll publishes a state and looks at all nodes.
func TestNewStateReachesAll(t *testing.T) {
	inFleet(t, 200, 7, func(g *WithT, n *network, peers []*peer) {
		n.publish(&schema.State{Version: 2, Domains: []string{"a", "b", "c", "d", "e", "f", "g"}})
		time.Sleep(6 * time.Second)
		oldest := time.Duration(0)
		for _, p := range peers {
			g.Expect(p.confirmer.Version()).To(Equal(uint64(2)))
			g.Expect(p.confirmer.Fresh()).To(BeTrue())
			age, _ := p.confirmer.Age()
			oldest = max(oldest, age)
		}
		t.Logf("oldest confirmation among 200 nodes: %v", oldest)
		n.set(func() { n.bytes = 0 })
		time.Sleep(time.Minute)
		n.set(func() { t.Logf("payload sent: %.0f bytes/s a node", float64(n.bytes)/60/200) })
	})
}
