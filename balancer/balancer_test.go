package balancer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/balancer"
	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

type staticDirectory struct{ view *gossiper.View }

func (d staticDirectory) View() *gossiper.View { return d.view }

// nodes returns a directory of nodes beside upstreams of one service, which
// alternate between two regions.
func nodes(count int) staticDirectory {
	members := map[string]*schema.Member{}
	for i := range count {
		name := fmt.Sprintf("node-%d", i)
		members[name] = &schema.Member{
			Name: name, Region: []string{"south", "north"}[i%2], Status: schema.Status_STATUS_ALIVE, Incarnation: 1,
			Endpoints: []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY}},
		}
	}
	return staticDirectory{gossiper.NewView(members)}
}

// TestHeterogeneousNodes checks that calls are shared according to the speed of
// the nodes: a node that is slow, refuses or is unreachable gets less than half
// the calls of a healthy node of its region.
func TestHeterogeneousNodes(t *testing.T) {
	cases := map[string]struct {
		times   []time.Duration
		results []balancer.Result
	}{
		"one slow node":        {[]time.Duration{10e6, 10e6, 10e6, 100e6}, make([]balancer.Result, 4)},
		"one refusing node":    {[]time.Duration{10e6, 10e6, 10e6, 1e6}, []balancer.Result{0, 0, 0, balancer.Refused}},
		"one unreachable node": {[]time.Duration{10e6, 10e6, 10e6, 1e6}, []balancer.Result{0, 0, 0, balancer.Unreachable}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := nodes(8)
				b := balancer.New(d, "south")
				counts := map[string]int{}
				for range 3000 {
					target, ok := b.Pick("orders", nil)
					g.Expect(ok).To(BeTrue())
					counts[target.Member.GetName()]++
					var i int
					_, _ = fmt.Sscanf(target.Member.GetName(), "node-%d", &i)
					i /= 2
					time.AfterFunc(c.times[i], func() { target.Done(c.results[i], c.times[i]) })
					time.Sleep(time.Millisecond)
				}
				t.Log(counts)
				g.Expect(counts["node-6"]).To(BeNumerically("<", counts["node-0"]/2))
				g.Expect(counts["node-0"]).To(BeNumerically(">", counts["node-1"]), "the own region should be preferred")
				time.Sleep(time.Second)
			})
		})
	}
}

func TestTriedNodesAreNotPicked(t *testing.T) {
	g := NewWithT(t)
	b := balancer.New(nodes(3), "south")
	tried := set.Of[string]()
	for range 3 {
		target, ok := b.Pick("orders", tried)
		g.Expect(ok).To(BeTrue())
		g.Expect(tried.Has(target.Member.GetName())).To(BeFalse())
		tried.Add(target.Member.GetName())
	}
	_, ok := b.Pick("orders", tried)
	g.Expect(ok).To(BeFalse())
	_, ok = b.Pick("files", nil)
	g.Expect(ok).To(BeFalse())
}

// BenchmarkPick measures whether the cost of a selection depends on the number of
// nodes.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 1200} {
		bal := balancer.New(nodes(count), "south")
		b.Run(fmt.Sprintf("%d nodes", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				target, _ := bal.Pick("orders", nil)
				target.Done(balancer.Answered, time.Millisecond)
			}
		})
	}
}
