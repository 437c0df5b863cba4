package beaconer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/beaconer"
	"quetzalhub/schema"
)

// network delivers datagrams between beaconers with a delay of 1 ms.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*node
	partitioned map[string]bool
	loss        float64
	// rewrite changes the beacons of an address before they are sent. It may be nil.
	rewrite func(from string, beacon *schema.Beacon)
	// blocked drops datagrams between two addresses. It may be nil.
	blocked func(from, to string) bool
	rng     *rand.Rand
	sent    int
	// listeners are notified by the nodes started next.
	listeners []beaconer.Listener
	// bytes is the size of all datagrams sent.
	bytes int
	// usages is reported by all nodes; it is one small entry unless set.
	usages []*schema.Usage
	// domains is the number of failure domains, and loaded is true if the nodes are under load.
	domains int
	loaded  bool
	pooled  bool
	// unpacked nodes neither send nor accept packed beacons.
	unpacked func(i int) bool
	// latest holds the last datagram sent from each address, for replays.
	latest map[string][]byte
}

type node struct {
	*beaconer.Beaconer
	net     *network
	address string
	domain  string
	ready   atomic.Bool
	cancel  context.CancelFunc
	stopped chan struct{}
	// remarks are sent in beacons, and evacuations in all of them while evacuating is true.
	evacuations atomic.Pointer[[]*schema.Evacuation]
	evacuating  atomic.Bool
	remarks     atomic.Pointer[[]*schema.Remark]
	blind       atomic.Bool
	load        *loaded
	sent        traffic
	// unpacked is true if the node does not know packed beacons.
	unpacked bool
}

func (n *node) Send(address string, datagram []byte) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	if n.net.rewrite != nil {
		beacon := &schema.Beacon{}
		if err := proto.Unmarshal(datagram, beacon); err != nil {
			panic(err)
		}
		n.net.rewrite(n.address, beacon)
		datagram, _ = proto.Marshal(beacon)
	}
	n.net.sent++
	n.net.bytes += len(datagram)
	n.net.latest[n.address] = datagram
	to := n.net.nodes[address]
	if to != nil && to.unpacked {
		beacon := &schema.Beacon{}
		if err := proto.Unmarshal(datagram, beacon); err != nil || len(beacon.GetPacked()) > 0 {
			panic("a packed beacon is sent to a node that does not accept it")
		}
	}
	if to != nil {
		n.sent.add(len(datagram), to.domain != n.domain)
	}
	if to == nil || n.net.partitioned[n.address] != n.net.partitioned[address] || n.net.rng.Float64() < n.net.loss ||
		n.net.blocked != nil && n.net.blocked(n.address, address) {
		return
	}
	time.AfterFunc(time.Millisecond, func() { to.Receive(datagram) })
}

func (n *node) Endpoints() []*schema.Endpoint {
	if !n.ready.Load() {
		return nil
	}
	if n.net.loaded {
		return n.load.endpoints()
	}
	return []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY, Limit: 10}}
}

func (n *node) Remarks() []*schema.Remark {
	if r := n.remarks.Load(); r != nil {
		return *r
	}
	return nil
}

func (n *node) Blind() bool { return n.blind.Load() }

func (n *node) Evacuations(all bool) ([]*schema.Evacuation, bool) {
	if r := n.evacuations.Load(); r != nil && (all || n.evacuating.Load()) {
		return *r, all
	}
	return nil, false
}

func (n *node) Suspicions() []*schema.Suspicion { return nil }

func (n *node) Inflows() []*schema.Inflow {
	if n.net.loaded {
		return n.load.inflows()
	}
	return nil
}

func (n *node) Usages() []*schema.Usage {
	switch {
	case n.net.pooled:
		return nil
	case n.net.loaded:
		return n.load.usages()
	}
	return n.net.usages
}

func (n *node) Profiles() []*schema.Profile {
	if n.net.loaded {
		return n.load.profiles()
	}
	return nil
}

func (n *node) Version() uint64 { return 1 }

func newNetwork() *network {
	return &network{
		nodes: map[string]*node{}, partitioned: map[string]bool{}, rng: rand.New(rand.NewPCG(1, 2)), latest: map[string][]byte{},
		usages: []*schema.Usage{{Workspace: "gloves", Arrivals: 2}}, domains: domains,
	}
}

func name(i int) string    { return fmt.Sprint("node-", i) }
func address(i int) string { return fmt.Sprint("10.0.", i/256, ".", i%256, ":7000") }

// start starts node i, which learns of the known nodes from the directory.
func (nw *network) start(i int, known ...int) *node {
	n := &node{net: nw, address: address(i), domain: fmt.Sprint("domain-", i%nw.domains), stopped: make(chan struct{}), load: newLoaded(i)}
	n.ready.Store(true)
	nw.mu.Lock()
	incarnation := nw.rng.Uint64()
	nw.mu.Unlock()
	n.Beaconer = beaconer.New(&schema.Member{
		Name: name(i), Domain: n.domain, Beacon: n.address, Status: schema.Status_STATUS_ALIVE, Incarnation: incarnation,
	}, n, n, 200*time.Millisecond, nw.listeners...)
	if n.unpacked = nw.unpacked != nil && nw.unpacked(i); n.unpacked {
		n.WithoutPacks()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	nw.mu.Lock()
	nw.nodes[n.address] = n
	nw.mu.Unlock()
	go n.loop(ctx)
	for _, k := range known {
		n.AddNode(name(k), address(k))
	}
	return n
}

func (n *node) loop(ctx context.Context) {
	defer close(n.stopped)
	n.Run(ctx)
}

func (nw *network) stop(n *node) {
	nw.mu.Lock()
	delete(nw.nodes, n.address)
	nw.mu.Unlock()
	n.cancel()
	<-n.stopped
}

func (nw *network) stopAll() {
	nw.mu.Lock()
	var all []*node
	for _, n := range nw.nodes {
		all = append(all, n)
	}
	nw.mu.Unlock()
	for _, n := range all {
		nw.stop(n)
	}
	synctest.Wait()
}

// TestRemarksReachRestartedNode guards against a node that learns only seconds after
// its restart what the others know of the upstream beside it.
func TestRemarksReachRestartedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nw := newNetwork()
		defer nw.stopAll()
		first, second := nw.start(0), nw.start(1, 0)
		first.remarks.Store(&[]*schema.Remark{{Instance: &schema.Instance{Id: "i-1"}, Left: true}})
		time.Sleep(time.Second)
		nw.stop(second)
		received := &remarkListener{}
		nw.listeners = []beaconer.Listener{received}
		nw.start(1, 0)
		time.Sleep(100 * time.Millisecond)
		received.mu.Lock()
		defer received.mu.Unlock()
		g.Expect(received.remarks).To(HaveLen(1))
	})
}

// TestRemarkThatCannotBeEncoded guards against a node whose process ends, or that others take
// for failed, because its beacon holds text that is no valid UTF-8. Its upstream must stay
// in use.
func TestRemarkThatCannotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nw := newNetwork()
		defer nw.stopAll()
		first, second := nw.start(0), nw.start(1, 0)
		time.Sleep(time.Second)
		first.remarks.Store(&[]*schema.Remark{{Instance: &schema.Instance{Id: "i-\xff\xfe"}, Left: true}})
		first.Announce()
		time.Sleep(10 * time.Second)
		g.Expect(second.View().Service("orders")).To(HaveLen(2))
	})
}

// TestEvacuationsReachAll guards against nodes that learn late, or not at all, that a failure
// domain is evacuated, also in a fleet that relays beacons and where datagrams are lost, and
// against a node that has just started and doesn't.
func TestEvacuationsReachAll(t *testing.T) {
	for name, size := range map[string]int{"6 nodes": 6, "48 nodes": 48} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				listeners := make([]*evacuationListener, size)
				var nodes []*node
				for i := range size {
					var known []int
					for k := range i {
						known = append(known, k)
					}
					listeners[i] = &evacuationListener{}
					nw.listeners = []beaconer.Listener{listeners[i]}
					nodes = append(nodes, nw.start(i, known...))
				}
				time.Sleep(5 * time.Second)
				nw.setLoss(0.1)
				nodes[0].evacuations.Store(&[]*schema.Evacuation{{Domain: "hall", Revision: 7}})
				nodes[0].evacuating.Store(true)
				nodes[0].Announce()
				time.Sleep(1500 * time.Millisecond)
				for i, l := range listeners[1:] {
					g.Expect(l.isTold()).To(BeTrue(), "node %d", i+1)
				}
				nodes[0].evacuating.Store(false)
				nw.setLoss(0)
				nw.stop(nodes[1])
				listener := &evacuationListener{}
				nw.listeners = []beaconer.Listener{listener}
				nw.start(1, 0)
				time.Sleep(100 * time.Millisecond)
				g.Expect(listener.isTold()).To(BeTrue())
				g.Expect(listener.isInformed()).To(BeTrue())
			})
		})
	}
}

// evacuationListener records whether beacons told of an evacuation and of all of them.
type evacuationListener struct {
	remarkListener
	told, informed atomic.Bool
}

func (l *evacuationListener) BeaconReceived(_ *schema.Member, b *schema.Beacon) {
	if len(b.GetEvacuations()) > 0 {
		l.told.Store(true)
	}
	if b.GetInformed() {
		l.informed.Store(true)
	}
}

func (l *evacuationListener) isTold() bool     { return l.told.Load() }
func (l *evacuationListener) isInformed() bool { return l.informed.Load() }

// remarkListener keeps the remarks in received beacons.
type remarkListener struct {
	mu      sync.Mutex
	remarks []*schema.Remark
}

func (l *remarkListener) BeaconReceived(_ *schema.Member, b *schema.Beacon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remarks = append(l.remarks, b.GetRemarks()...)
}
func (*remarkListener) NodeSilent(*schema.Member) {}
func (*remarkListener) BeaconReduced(error)       {}

// TestMembershipChanges guards against nodes that stay eligible for calls after
// they failed, or that are lost for good after a partition, a restart or lost
// datagrams. Each case changes a fleet of ten and states how many upstreams
// node 0 may use afterwards.
func TestMembershipChanges(t *testing.T) {
	cases := map[string]struct {
		action func(nw *network, nodes []*node)
		wait   time.Duration
		want   int
	}{
		"all nodes start":                       {func(*network, []*node) {}, 500 * time.Millisecond, 10},
		"one node is killed":                    {func(nw *network, n []*node) { nw.stop(n[4]) }, 1500 * time.Millisecond, 9},
		"one node leaves":                       {func(_ *network, n []*node) { n[4].Leave() }, 50 * time.Millisecond, 9},
		"one upstream is not ready":             {func(_ *network, n []*node) { n[4].ready.Store(false); n[4].Announce() }, 50 * time.Millisecond, 9},
		"10% of datagrams are lost":             {func(nw *network, _ []*node) { nw.setLoss(0.1) }, 10 * time.Second, 10},
		"three nodes are partitioned":           {func(nw *network, _ []*node) { nw.partition(7, 8, 9) }, 1500 * time.Millisecond, 7},
		"a partition of three nodes heals":      {func(nw *network, _ []*node) { nw.partition(7, 8, 9); time.Sleep(5 * time.Second); nw.partition() }, 1500 * time.Millisecond, 10},
		"a node restarts without the directory": {func(nw *network, n []*node) { nw.stop(n[4]); nw.start(4) }, 500 * time.Millisecond, 10},
		"a late datagram of the previous incarnation": {func(nw *network, n []*node) {
			old := nw.lastDatagram(n[4])
			nw.stop(n[4])
			restarted := nw.start(4)
			restarted.ready.Store(false)
			time.Sleep(500 * time.Millisecond)
			n[0].Receive(old)
		}, 50 * time.Millisecond, 9},
		"a malformed pack": {func(_ *network, n []*node) {
			n[0].Receive([]byte("\x72\x05nonse"))
			n[0].Receive([]byte("\x72\x00"))
		}, 50 * time.Millisecond, 10},
		"a malformed datagram": {func(_ *network, n []*node) { n[0].Receive([]byte("\x0a\xffnonsense")) }, 50 * time.Millisecond, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				var nodes []*node
				for i := range 10 {
					var known []int
					for k := range i {
						known = append(known, k)
					}
					nodes = append(nodes, nw.start(i, known...))
				}
				time.Sleep(time.Second)
				c.action(nw, nodes)
				time.Sleep(c.wait)
				g.Expect(nodes[0].View().Service("orders")).To(HaveLen(c.want))
				g.Expect(nodes[0].Beaconer.Usages()).To(HaveLen(9), "the usage of silent nodes must be kept")
			})
		})
	}
}

// partition separates the given nodes from all others. Without arguments it ends
// the partition.
func (nw *network) partition(nodes ...int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.partitioned = map[string]bool{}
	for _, i := range nodes {
		nw.partitioned[address(i)] = true
	}
}

// TestSendRateIsBounded guards against a send rate that grows with the fleet: a
// node sends at most 460 datagrams per second, whatever the number of nodes.
func TestSendRateIsBounded(t *testing.T) {
	for _, size := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nw := newNetwork()
				defer nw.stopAll()
				var known []int
				for i := range size {
					known = append(known, i)
				}
				n := nw.start(0, known...)
				for i := 1; i < size; i++ {
					// These nodes only need an entry in the table; they send nothing more.
					n.Receive(nw.firstBeacon(i))
				}
				time.Sleep(time.Second)
				before := nw.sentCount()
				time.Sleep(10 * time.Second)
				g.Expect(float64(nw.sentCount()-before) / 10).To(BeNumerically("<=", 460))
			})
		})
	}
}

// isDigest reports whether the last datagram of an address holds relayed beacons. The caller
// holds the lock.
func (nw *network) isDigest(from string) bool {
	beacon := &schema.Beacon{}
	return proto.Unmarshal(nw.latest[from], beacon) == nil && (len(beacon.GetRelayed()) > 0 || len(beacon.GetPacked()) > 0)
}

// setLoss sets the share of datagrams that are dropped.
func (nw *network) setLoss(share float64) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.loss = share
}

// lastDatagram returns the last datagram that a node sent.
func (nw *network) lastDatagram(n *node) []byte {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.latest[n.address]
}

// sentCount returns the number of datagrams sent by all nodes.
func (nw *network) sentCount() int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.sent
}

// sentBytes returns the size of the datagrams sent by all nodes.
func (nw *network) sentBytes() int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.bytes
}

// firstBeacon starts a node, stops it and returns its first beacon, which it
// sends to an address without a node.
func (nw *network) firstBeacon(i int) []byte {
	n := nw.start(i)
	n.AddNode("node-x", "10.9.9.9:1")
	time.Sleep(time.Millisecond)
	data := nw.lastDatagram(n)
	nw.stop(n)
	return data
}
