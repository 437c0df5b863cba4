//go:build scale

package gossiper_test

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/schema"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestTargetSize forms a fleet of 1,200 nodes in 7 failure domains, publishes a
// state and kills one domain. It measures how long a change takes to reach all
// nodes, the age of confirmations, and the traffic and CPU time per node.
// Run it with: go test -tags scale -run TargetSize -v ./gossiper
func TestTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count, domains = 1200, 7
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		n := newNetwork(names...)
		peers := n.startFleet(t, count, domains)
		formed := time.Now()
		for !all(peers, func(p *peer) bool { return p.gossiper.View().LiveCount() == count && p.confirmer.Fresh() }) {
			time.Sleep(time.Second)
		}
		t.Logf("fleet formed after %v", time.Since(formed))
		time.Sleep(3 * time.Minute)
		n.withLock(func() { n.bytes = 0 })
		cpu, span := cpuTime(), 30*time.Second
		time.Sleep(span)
		perNode := (cpuTime() - cpu) / count
		t.Logf("steady state: payload sent %.0f bytes/s per node, CPU time %.4f%% of a core per node",
			float64(n.bytes)/span.Seconds()/count, 100*perNode.Seconds()/span.Seconds())
		n.publish(&schema.State{Version: 2, Domains: names})
		published := time.Now()
		for !all(peers, func(p *peer) bool { return p.confirmer.Version() == 2 }) {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("new state at all nodes after %v", time.Since(published))
		oldest := time.Duration(0)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			for _, p := range peers {
				age, _ := p.confirmer.Age()
				oldest = max(oldest, age)
				g.Expect(p.confirmer.Fresh()).To(BeTrue())
			}
		}
		t.Logf("oldest confirmation in 10 s: %v", oldest)
		n.withLock(func() {
			n.bytes = 0
			for i, p := range peers {
				if i%domains == 6 {
					p.cancel()
					delete(n.nodes, p.address)
				}
			}
		})
		killed := time.Now()
		live := func(p *peer) bool { return p.domain == "g" || p.gossiper.View().LiveCount() == count-171 }
		for !all(peers, live) && time.Since(killed) < 5*time.Minute {
			time.Sleep(time.Second)
		}
		took := time.Since(killed)
		t.Logf("a domain of 171 nodes failed in all views after %v, payload sent meanwhile %.0f bytes/s per node",
			took, float64(n.bytes)/took.Seconds()/(count-171))
		for _, p := range peers {
			p.cancel()
		}
		time.Sleep(10 * time.Second)
	})
}

func all(peers []*peer, condition func(*peer) bool) bool {
	for _, p := range peers {
		if !condition(p) {
			return false
		}
	}
	return true
}
