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

	"quetzalhub/beaconer"
	"quetzalhub/schema"
)

// net carries datagrams between beaconers, late by a millisecond.
type net struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
	loss  float64
	rng   *rand.Rand
	sent  int
	// kept holds the last datagram of each address, to be sent again.
	kept map[string][]byte
}

type node struct {
	*beaconer.Beaconer
	net     *net
	address string
	ready   atomic.Bool
	cancel  context.CancelFunc
	stopped chan struct{}
}

func (n *node) Send(address string, datagram []byte) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.net.sent++
	n.net.kept[n.address] = datagram
	to := n.net.nodes[address]
	if to == nil || n.net.cut[n.address] != n.net.cut[address] || n.net.rng.Float64() < n.net.loss {
		return
	}
	time.AfterFunc(time.Millisecond, func() { to.Receive(datagram) })
}

func (n *node) Endpoints() []*schema.Endpoint {
	if !n.ready.Load() {
		return nil
	}
	return []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY, Limit: 10}}
}

func (n *node) Inflows() []*schema.Inflow   { return nil }
func (n *node) Usages() []*schema.Usage     { return []*schema.Usage{{Workspace: "gloves", Arrivals: 2}} }
func (n *node) Profiles() []*schema.Profile { return nil }
func (n *node) Version() uint64             { return 1 }

func newNet() *net {
	return &net{nodes: map[string]*node{}, cut: map[string]bool{}, rng: rand.New(rand.NewPCG(1, 2)), kept: map[string][]byte{}}
}

func name(i int) string    { return fmt.Sprint("node-", i) }
func address(i int) string { return fmt.Sprint("10.0.0.", i, ":7000") }

// start starts a node that finds the given ones in the directory.
func (w *net) start(i int, known ...int) *node {
	n := &node{net: w, address: address(i), stopped: make(chan struct{})}
	n.ready.Store(true)
	w.mu.Lock()
	incarnation := w.rng.Uint64()
	w.mu.Unlock()
	n.Beaconer = beaconer.New(&schema.Member{
		Name: name(i), Beacon: n.address, Status: schema.Status_STATUS_ALIVE, Incarnation: incarnation,
	}, n, n, 200*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.mu.Lock()
	w.nodes[n.address] = n
	w.mu.Unlock()
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

func (w *net) stop(n *node) {
	w.mu.Lock()
	delete(w.nodes, n.address)
	w.mu.Unlock()
	n.cancel()
	<-n.stopped
}

func (w *net) stopAll() {
	w.mu.Lock()
	var all []*node
	for _, n := range w.nodes {
		all = append(all, n)
	}
	w.mu.Unlock()
	for _, n := range all {
		w.stop(n)
	}
	synctest.Wait()
}

// TestFleet plays what happens to a fleet of ten; each step ends with the
// number of upstreams that node 0 may use.
func TestFleet(t *testing.T) {
	cases := map[string]struct {
		does func(w *net, nodes []*node)
		wait time.Duration
		want int
	}{
		"all start":              {func(*net, []*node) {}, 500 * time.Millisecond, 10},
		"one dies":               {func(w *net, n []*node) { w.stop(n[4]) }, 1500 * time.Millisecond, 9},
		"one leaves in order":    {func(_ *net, n []*node) { n[4].Leave() }, 50 * time.Millisecond, 9},
		"one upstream goes":      {func(_ *net, n []*node) { n[4].ready.Store(false); n[4].Announce() }, 50 * time.Millisecond, 9},
		"a tenth of packets":     {func(w *net, _ []*node) { w.lose(0.1) }, 10 * time.Second, 10},
		"three are cut off":      {func(w *net, _ []*node) { w.cutOff(7, 8, 9) }, 1500 * time.Millisecond, 7},
		"three are back":         {func(w *net, _ []*node) { w.cutOff(7, 8, 9); time.Sleep(5 * time.Second); w.cutOff() }, 1500 * time.Millisecond, 10},
		"one starts again alone": {func(w *net, n []*node) { w.stop(n[4]); w.start(4) }, 500 * time.Millisecond, 10},
		"a late datagram of the start before": {func(w *net, n []*node) {
			old := w.last(n[4])
			w.stop(n[4])
			again := w.start(4)
			again.ready.Store(false)
			time.Sleep(500 * time.Millisecond)
			n[0].Receive(old)
		}, 50 * time.Millisecond, 9},
		"bytes of a stranger": {func(_ *net, n []*node) { n[0].Receive([]byte("\x0a\xffnonsense")) }, 50 * time.Millisecond, 10},
	}
	for label, c := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newNet()
				defer w.stopAll()
				var nodes []*node
				for i := range 10 {
					var known []int
					for k := range i {
						known = append(known, k)
					}
					nodes = append(nodes, w.start(i, known...))
				}
				time.Sleep(time.Second)
				c.does(w, nodes)
				time.Sleep(c.wait)
				g.Expect(nodes[0].View().Service("orders")).To(HaveLen(c.want))
				g.Expect(nodes[0].Beaconer.Usages()).To(HaveLen(9), "usage of silent nodes is kept")
			})
		})
	}
}

func (w *net) cutOff(nodes ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = map[string]bool{}
	for _, i := range nodes {
		w.cut[address(i)] = true
	}
}

// TestPaceIsBounded measures the datagrams that a node sends in fleets of
// different size.
func TestPaceIsBounded(t *testing.T) {
	for _, size := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newNet()
				defer w.stopAll()
				var known []int
				for i := range size {
					known = append(known, i)
				}
				n := w.start(0, known...)
				for i := 1; i < size; i++ {
					// Only their answers matter here.
					n.Receive(w.beacon(i))
				}
				time.Sleep(time.Second)
				before := w.count()
				time.Sleep(10 * time.Second)
				g.Expect(float64(w.count()-before) / 10).To(BeNumerically("<=", 460))
			})
		})
	}
}

// lose drops a share of all datagrams from now on.
func (w *net) lose(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = share
}

// last returns the last datagram of a node.
func (w *net) last(n *node) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kept[n.address]
}

// count returns the number of datagrams sent so far.
func (w *net) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// beacon returns the first beacon of a node that sends no more.
func (w *net) beacon(i int) []byte {
	n := w.start(i)
	n.AddNode("node-x", "10.9.9.9:1")
	time.Sleep(time.Millisecond)
	data := w.last(n)
	w.stop(n)
	return data
}
