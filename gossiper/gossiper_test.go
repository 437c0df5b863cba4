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

// runInFleet runs test on a fleet whose nodes all see each other and have fresh
// state.
func runInFleet(t *testing.T, count, domains int, test func(g *WithT, n *network, peers []*peer)) {
	synctest.Test(t, func(t *testing.T) {
		names := make([]string, domains)
		for i := range names {
			names[i] = string(rune('a' + i))
		}
		n := newNetwork(names...)
		peers := n.startFleet(t, count, domains)
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

// TestKilledNodeIsFailed guards against a killed node that some nodes still see as
// live.
func TestKilledNodeIsFailed(t *testing.T) {
	runInFleet(t, 20, 4, func(g *WithT, n *network, peers []*peer) {
		peers[7].cancel()
		n.withLock(func() { delete(n.nodes, "node-007") })
		time.Sleep(30 * time.Second)
		for i, p := range peers {
			if i != 7 {
				g.Expect(p.statusOf("node-007")).To(Equal(failed))
				g.Expect(p.gossiper.View().LiveCount()).To(Equal(19))
			}
		}
	})
}

// TestLeavingNodeIsLeftAtOnce guards against a node that leaves and is declared
// failed only when its suspicion period ends.
func TestLeavingNodeIsLeftAtOnce(t *testing.T) {
	runInFleet(t, 20, 4, func(g *WithT, _ *network, peers []*peer) {
		peers[7].gossiper.Leave()
		peers[7].cancel()
		time.Sleep(3 * time.Second)
		for i, p := range peers {
			if i != 7 {
				g.Expect(p.statusOf("node-007")).To(Equal(left))
			}
		}
	})
}

// TestFrozenNodeReturns guards against a node that trusts outdated state, or that
// stays failed, after its process was suspended for longer than every timeout.
func TestFrozenNodeReturns(t *testing.T) {
	runInFleet(t, 20, 4, func(g *WithT, n *network, peers []*peer) {
		n.withLock(func() { peers[7].frozen = true })
		time.Sleep(30 * time.Second)
		g.Expect(peers[3].statusOf("node-007")).To(Equal(failed))
		g.Expect(peers[7].confirmer.Fresh()).To(BeFalse(), "the state of an isolated node must become stale")
		n.withLock(func() { peers[7].frozen = false })
		time.Sleep(30 * time.Second)
		for _, p := range peers {
			g.Expect(p.statusOf("node-007")).To(Equal(alive))
		}
		g.Expect(peers[7].confirmer.Fresh()).To(BeTrue())
	})
}

// TestRestartUnderTheSameName guards against an instance that is not replaced when
// its node is killed and restarted under the same name.
func TestRestartUnderTheSameName(t *testing.T) {
	runInFleet(t, 12, 3, func(g *WithT, n *network, peers []*peer) {
		peers[5].cancel()
		restarted := n.start(t, "node-005", "c", 2, "node-000")
		time.Sleep(15 * time.Second)
		for i, p := range peers {
			if i == 5 {
				continue
			}
			g.Expect(p.gossiper.View().Members["node-005"].GetIncarnation()).To(Equal(uint64(2)))
			g.Expect(p.statusOf("node-005")).To(Equal(alive))
			g.Expect(p.gossiper.View().Replaced).To(ContainElement(HaveField("Name", "node-005")))
		}
		restarted.cancel()
	})
}

// TestLossDoesNotFlap guards against nodes that fail or become stale through
// datagram loss alone: one datagram in ten is dropped for ten minutes.
func TestLossDoesNotFlap(t *testing.T) {
	runInFleet(t, 20, 4, func(g *WithT, n *network, peers []*peer) {
		n.withLock(func() { n.loss = 0.1 })
		for range 600 {
			time.Sleep(time.Second)
			for _, p := range peers {
				g.Expect(p.gossiper.View().LiveCount()).To(Equal(20))
				g.Expect(p.confirmer.Fresh()).To(BeTrue())
			}
		}
	})
}

// TestDomainPartitionHeals guards against the two sides of a partition that stop
// or never rejoin. Both sides reach the platform, so both must stay fresh.
func TestDomainPartitionHeals(t *testing.T) {
	runInFleet(t, 21, 3, func(g *WithT, n *network, peers []*peer) {
		n.withLock(func() {
			for i, p := range peers {
				n.partition[p.address] = i % 3 / 2
			}
		})
		time.Sleep(time.Hour)
		g.Expect(peers[0].gossiper.View().LiveCount()).To(Equal(14))
		g.Expect(peers[2].gossiper.View().LiveCount()).To(Equal(7))
		g.Expect(peers[0].confirmer.Fresh()).To(BeTrue())
		g.Expect(peers[2].confirmer.Fresh()).To(BeTrue())
		n.withLock(func() { clear(n.partition) })
		time.Sleep(time.Minute)
		for _, p := range peers {
			g.Expect(p.gossiper.View().LiveCount()).To(Equal(21))
		}
	})
}

// TestPlatformDown guards against state that becomes stale in a platform outage
// that affects all nodes, and against state that stays fresh when a partition
// follows: neither side then knows whether a key was withdrawn.
func TestPlatformDown(t *testing.T) {
	runInFleet(t, 21, 3, func(g *WithT, n *network, peers []*peer) {
		n.withLock(func() { n.platformDown = true })
		for range 60 {
			time.Sleep(10 * time.Second)
			for _, p := range peers {
				g.Expect(p.confirmer.Fresh()).To(BeTrue(), "%s during the outage", p.address)
			}
		}
		n.withLock(func() {
			for i, p := range peers {
				n.partition[p.address] = i % 3 / 2
			}
		})
		time.Sleep(2 * freshness)
		for _, p := range peers {
			g.Expect(p.confirmer.Fresh()).To(BeFalse(), "%s must not serve keys that may be withdrawn", p.address)
		}
		n.withLock(func() { clear(n.partition) })
		time.Sleep(time.Minute)
		for _, p := range peers {
			g.Expect(p.confirmer.Fresh()).To(BeTrue())
		}
	})
}

// TestNewStateReachesAll guards against nodes that do not receive a new state: all
// 200 must hold it, fresh, 6 s after it is published.
func TestNewStateReachesAll(t *testing.T) {
	runInFleet(t, 200, 7, func(g *WithT, n *network, peers []*peer) {
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
		n.withLock(func() { n.bytes = 0 })
		time.Sleep(time.Minute)
		n.withLock(func() { t.Logf("payload sent: %.0f bytes/s per node", float64(n.bytes)/60/200) })
	})
}
