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

type fixed struct{ view *gossiper.View }

func (f fixed) View() *gossiper.View { return f.view }

// nodes returns a directory of nodes beside upstreams of one service, every
// other one in another region.
func nodes(count int) fixed {
	members := map[string]*schema.Member{}
	for i := range count {
		name := fmt.Sprintf("node-%d", i)
		members[name] = &schema.Member{
			Name: name, Region: []string{"south", "north"}[i%2], Status: schema.Status_STATUS_ALIVE, Incarnation: 1,
			Endpoints: []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY}},
		}
	}
	return fixed{gossiper.NewView(members)}
}

// TestUnlikeNodes serves calls at nodes of different speed: the share of each
// follows its speed, and a node that refuses or can't be reached is avoided.
func TestUnlikeNodes(t *testing.T) {
	cases := map[string]struct {
		times   []time.Duration
		results []balancer.Result
	}{
		"one slow":        {[]time.Duration{10e6, 10e6, 10e6, 100e6}, make([]balancer.Result, 4)},
		"one refuses":     {[]time.Duration{10e6, 10e6, 10e6, 1e6}, []balancer.Result{0, 0, 0, balancer.Refused}},
		"one unreachable": {[]time.Duration{10e6, 10e6, 10e6, 1e6}, []balancer.Result{0, 0, 0, balancer.Unreachable}},
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
				g.Expect(counts["node-0"]).To(BeNumerically(">", counts["node-1"]), "the own region comes first")
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

// BenchmarkPick shows that a choice does not depend on the number of nodes.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 1200} {
		chooser := balancer.New(nodes(count), "south")
		b.Run(fmt.Sprintf("%d nodes", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				target, _ := chooser.Pick("orders", nil)
				target.Done(balancer.Answered, time.Millisecond)
			}
		})
	}
}
