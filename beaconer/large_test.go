package beaconer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/schema"
)

// domains is the number of failure domains of the fleets.
const domains = 4

// startFleet starts nodes that know each other from the directory.
func (nw *network) startFleet(size int) []*node {
	var nodes []*node
	for i := range size {
		var known []int
		for k := range i {
			known = append(known, k)
		}
		nodes = append(nodes, nw.start(i, known...))
	}
	return nodes
}

// manyUsages returns the usage at a node that receives requests of many workspaces.
func manyUsages(count int) []*schema.Usage {
	list := make([]*schema.Usage, count)
	for i := range list {
		list[i] = &schema.Usage{Workspace: fmt.Sprint("workspace-", i), Arrivals: 0.4}
	}
	return list
}

// lateBeacons returns for how many of the given nodes the last beacon at node n is older
// than maxAge.
func (n *node) lateBeacons(nodes []*node, maxAge time.Duration) int {
	late := 0
	for _, other := range nodes {
		name, _ := other.Identity()
		if age, ok := n.SinceLastBeacon(name); other != n && (!ok || age > maxAge) {
			late++
		}
	}
	return late
}

// TestCostOfLargeFleet guards against membership that costs each node more the larger the
// fleet is: beacons from every node to every other one took most of the processor time
// of 76 nodes. The mean node may send 60 datagrams per second at any size, and none may
// learn less for it: no beacon may be older than 600 ms.
func TestCostOfLargeFleet(t *testing.T) {
	cases := map[string]int{"38 nodes": 38, "76 nodes": 76, "152 nodes": 152}
	for name, size := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				nw.usages = manyUsages(80)
				nodes := nw.startFleet(size)
				time.Sleep(8 * time.Second)
				datagrams, bytes := nw.sentCount(), nw.sentBytes()
				const span = 4 * time.Second
				late := 0
				for range span / (100 * time.Millisecond) {
					time.Sleep(100 * time.Millisecond)
					late += nodes[0].lateBeacons(nodes, 600*time.Millisecond)
				}
				perNode := float64(nw.sentCount()-datagrams) / float64(size) / span.Seconds()
				t.Logf("%.1f datagrams and %.0f bytes per node and second", perNode, float64(nw.sentBytes()-bytes)/float64(size)/span.Seconds())
				g.Expect(nodes[0].View().Service("orders")).To(HaveLen(size))
				g.Expect(nodes[0].Beaconer.Usages()).To(HaveLen(size - 1))
				g.Expect(late).To(BeZero())
				g.Expect(perNode).To(BeNumerically("<=", 60))
			})
		})
	}
}

// TestBlindNodesAreKnown guards against nodes that rely on a watcher that does not reach the
// platform: all must learn of it at once if it announces it, and with its next beacons if
// not, also where these are relayed.
func TestBlindNodesAreKnown(t *testing.T) {
	cases := map[string]struct {
		size     int
		announce bool
		within   time.Duration
	}{
		"6 nodes":             {6, false, 300 * time.Millisecond},
		"6 nodes, announced":  {6, true, 20 * time.Millisecond},
		"48 nodes":            {48, false, 900 * time.Millisecond},
		"48 nodes, announced": {48, true, 20 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				nodes := nw.startFleet(c.size)
				time.Sleep(8 * time.Second)
				blind := nodes[3]
				self, _ := blind.Identity()
				for _, value := range []bool{true, false} {
					blind.blind.Store(value)
					if c.announce {
						blind.Announce()
					}
					time.Sleep(c.within)
					for _, n := range nodes {
						g.Expect(n.View().Members[self].GetBlind()).To(Equal(value))
					}
				}
			})
		})
	}
}

// TestLargeFleetChanges guards against relays as single points of failure: nodes that
// work must not become silent anywhere when nodes are killed, relays among them, when
// links between nodes fail, or when datagrams are lost; nodes that do not work must be
// silent everywhere. Each case changes a fleet of 48.
func TestLargeFleetChanges(t *testing.T) {
	const size = 48
	stop := func(kill func(i int, n *node) bool) func(*network, []*node) []*node {
		return func(nw *network, nodes []*node) []*node {
			var alive []*node
			for i, n := range nodes {
				if kill(i, n) {
					nw.stop(n)
				} else {
					alive = append(alive, n)
				}
			}
			return alive
		}
	}
	relays := func(nodes []*node) []*node {
		var list []*node
		for _, n := range nodes {
			if name, _ := n.Identity(); n.View().Members[name].GetRelaying() {
				list = append(list, n)
			}
		}
		return list
	}
	cases := map[string]func(nw *network, nodes []*node) []*node{
		"no change":                 func(_ *network, n []*node) []*node { return n },
		"a node is killed":          stop(func(i int, _ *node) bool { return i == 7 }),
		"two in three are killed":   stop(func(i int, _ *node) bool { return i%3 != 0 }),
		"a domain but one node":     stop(func(i int, _ *node) bool { return i%domains == 1 && i > 1 }),
		"3% of datagrams are lost":  func(nw *network, n []*node) []*node { nw.setLoss(0.03); return n },
		"10% of datagrams are lost": func(nw *network, n []*node) []*node { nw.setLoss(0.1); return n },
		"all relays are killed": func(nw *network, nodes []*node) []*node {
			killed := map[*node]bool{}
			for _, n := range relays(nodes) {
				killed[n] = true
			}
			return stop(func(_ int, n *node) bool { return killed[n] })(nw, nodes)
		},
		"a relay does not reach other domains": func(nw *network, nodes []*node) []*node {
			cut := relays(nodes)[0]
			nw.mu.Lock()
			defer nw.mu.Unlock()
			nw.blocked = func(from, to string) bool {
				a, b := nw.nodes[from], nw.nodes[to]
				return a != nil && b != nil && (a == cut || b == cut) && a.domain != b.domain
			}
			return without(nodes, cut)
		},
		"a node of an earlier release": func(nw *network, nodes []*node) []*node {
			legacy := nodes[5]
			nw.mu.Lock()
			defer nw.mu.Unlock()
			nw.rewrite = func(from string, beacon *schema.Beacon) {
				if from == legacy.address && beacon.GetMember() != nil {
					beacon.Member.Digests, beacon.Member.Packs, beacon.Relay, beacon.Direct = false, false, false, false
				}
			}
			nw.blocked = func(from, to string) bool { return to == legacy.address && nw.isDigest(from) }
			return nodes
		},
		"the relays of a domain are frozen": func(nw *network, nodes []*node) []*node {
			frozen := map[*node]bool{}
			alive := nodes
			for _, n := range relays(nodes) {
				if n.domain == nodes[0].domain {
					frozen[n] = true
					alive = without(alive, n)
				}
			}
			nw.mu.Lock()
			defer nw.mu.Unlock()
			nw.blocked = func(from, to string) bool { return frozen[nw.nodes[from]] || frozen[nw.nodes[to]] }
			return alive
		},
		"nothing reaches a relay": func(nw *network, nodes []*node) []*node {
			cut := relays(nodes)[0]
			nw.mu.Lock()
			defer nw.mu.Unlock()
			nw.blocked = func(_, to string) bool { return to == cut.address }
			return without(nodes, cut)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				nodes := nw.startFleet(size)
				time.Sleep(4 * time.Second)
				g.Expect(relays(nodes)).To(HaveLen(2 * domains))
				changed := time.Now()
				alive := change(nw, nodes)
				for range 60 {
					time.Sleep(100 * time.Millisecond)
					for _, n := range alive {
						g.Expect(n.lateBeacons(alive, 1600*time.Millisecond)).To(BeZero(), "at %s after %v", n.address, time.Since(changed))
					}
				}
				for _, n := range alive {
					g.Expect(len(n.View().Service("orders"))).To(Or(Equal(len(alive)), Equal(len(nw.nodes))))
				}
			})
		})
	}
}

// TestMixedReleases guards against a fleet that falls apart while it is refreshed to a release
// with packed beacons, or back.
func TestMixedReleases(t *testing.T) {
	const size = 48
	cases := map[string]func(i int) bool{
		"half of the nodes":         func(i int) bool { return i%8 < 4 },
		"one node is refreshed":     func(i int) bool { return i != 9 },
		"one node is not refreshed": func(i int) bool { return i == 9 },
		"one domain":                func(i int) bool { return i%domains == 0 },
	}
	for name, unpacked := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				nw.unpacked = unpacked
				nodes := nw.startFleet(size)
				time.Sleep(4 * time.Second)
				for range 60 {
					time.Sleep(100 * time.Millisecond)
					for _, n := range nodes {
						g.Expect(n.lateBeacons(nodes, 600*time.Millisecond)).To(BeZero(), n.address)
						g.Expect(n.View().Service("orders")).To(HaveLen(size), n.address)
					}
				}
				nodes[3].ready.Store(false)
				nodes[3].Announce()
				time.Sleep(time.Second)
				for _, n := range nodes {
					g.Expect(n.View().Service("orders")).To(HaveLen(size-1), n.address)
				}
			})
		})
	}
}

// TestSilenceIsNoticed bounds the time from the end of a node until all others know, by the size
// of the fleet.
func TestSilenceIsNoticed(t *testing.T) {
	cases := map[string]struct {
		size  int
		bound time.Duration
	}{
		"16 nodes": {16, 1300 * time.Millisecond},
		"21 nodes": {21, 1300 * time.Millisecond},
		"84 nodes": {84, 2200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				nw.domains = 3
				nodes := nw.startFleet(c.size)
				time.Sleep(9 * time.Second)
				nw.stop(nodes[5])
				stopped := time.Now()
				for _, n := range without(nodes, nodes[5]) {
					for n.View().LiveCount() == c.size {
						time.Sleep(20 * time.Millisecond)
						g.Expect(time.Since(stopped)).To(BeNumerically("<=", c.bound))
					}
				}
				t.Log("noticed after", time.Since(stopped))
			})
		})
	}
}

// without returns the nodes except for one.
func without(nodes []*node, left *node) []*node {
	var list []*node
	for _, n := range nodes {
		if n != left {
			list = append(list, n)
		}
	}
	return list
}
