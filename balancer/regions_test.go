package balancer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/balancer"
	"quetzalhub/naive"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

// picker is what all policies have in common.
type picker interface {
	PickInTime(service string, need balancer.Need, tried set.Set[string]) (*balancer.Target, bool)
	PickHashed(service string, need balancer.Need, key uint64, tried set.Set[string]) (*balancer.Target, bool)
	Covers(service string, need balancer.Need) bool
}

// TestRegions guards against a call that is sent to a node outside the regions in which it
// may run, however nodes are picked and however much better the others are. The upstreams
// lie in the south and the north by turns, and those in the south are full.
func TestRegions(t *testing.T) {
	d := nodes(6)
	pickers := map[string]picker{
		"by capacity":      balancer.New(d, "north", balancer.ByCapacity("a")),
		"by expected wait": balancer.New(d, "north"),
		"in turn":          naive.NewPicker(d),
	}
	for _, p := range pickers {
		if b, ok := p.(*balancer.Balancer); ok {
			for _, m := range d.view.Members {
				if m.GetRegion() == "south" {
					b.RecordLoad(m, &schema.Endpoint{Service: "orders", Limit: 20, Active: 20, Queued: 20})
				}
			}
		}
	}
	cases := map[string]struct {
		route, workspace []string
		// want holds the regions in which nodes are picked.
		want []string
	}{
		"no bound":                    {want: []string{"south", "north"}},
		"empty lists":                 {route: []string{}, workspace: []string{}, want: []string{"south", "north"}},
		"bound by the route":          {route: []string{"south"}, want: []string{"south"}},
		"bound by the workspace":      {workspace: []string{"south"}, want: []string{"south"}},
		"both bind":                   {route: []string{"north", "south"}, workspace: []string{"south", "east"}, want: []string{"south"}},
		"no region that both allow":   {route: []string{"north"}, workspace: []string{"south"}},
		"region without upstreams":    {route: []string{"east"}},
		"unknown region beside a one": {route: []string{"nowhere", "south"}, want: []string{"south"}},
		"another case of letters":     {route: []string{"South"}},
		"a region without a name":     {route: []string{""}},
	}
	for policy, p := range pickers {
		for name, c := range cases {
			t.Run(fmt.Sprint(policy, ", ", name), func(t *testing.T) {
				g := NewWithT(t)
				need := balancer.Need{Regions: resolver.Regions{Route: c.route, Workspace: c.workspace}}
				g.Expect(p.Covers("orders", need)).To(Equal(len(c.want) > 0))
				for key := range uint64(300) {
					inTime, ok := p.PickInTime("orders", need, nil)
					g.Expect(ok).To(Equal(len(c.want) > 0))
					hashed, hashedOK := p.PickHashed("orders", need, key, nil)
					g.Expect(hashedOK).To(Equal(ok))
					if !ok {
						continue
					}
					for _, target := range []*balancer.Target{inTime, hashed} {
						g.Expect(c.want).To(ContainElement(target.Member.GetRegion()))
						target.Done(balancer.Answered, 0)
					}
				}
			})
		}
	}
}

// TestTriedInRegion checks that a call which has tried all nodes of its regions is not sent
// to the others.
func TestTriedInRegion(t *testing.T) {
	g := NewWithT(t)
	need := balancer.Need{Regions: resolver.Regions{Route: []string{"south"}}}
	for _, b := range []*balancer.Balancer{balancer.New(nodes(6), "north", balancer.ByCapacity("a")), balancer.New(nodes(6), "north")} {
		tried := set.Of[string]()
		for range 3 {
			target, ok := b.PickInTime("orders", need, tried)
			g.Expect(ok).To(BeTrue())
			tried.Add(target.Member.GetName())
		}
		_, ok := b.PickInTime("orders", need, tried)
		g.Expect(ok).To(BeFalse())
		_, ok = b.PickHashed("orders", need, 7, tried)
		g.Expect(ok).To(BeFalse())
	}
}
