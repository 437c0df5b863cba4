package balancer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/balancer"
	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

// weights are the shares of their usual load that failure domains get; others get all.
type weights map[string]float64

func (w weights) Weight(domain string) float64 {
	if weight, ok := w[domain]; ok {
		return weight
	}
	return 1
}

// fourDomains returns a directory with two upstreams in each of the domains a to d.
func fourDomains() staticDirectory {
	members := map[string]*schema.Member{}
	for i := range 8 {
		name := fmt.Sprint("node-", i)
		members[name] = &schema.Member{
			Name: name, Domain: string(rune('a' + i%4)), Status: schema.Status_STATUS_ALIVE, Incarnation: 1,
			Endpoints: []*schema.Endpoint{endpoint(4, 40*time.Millisecond)},
		}
	}
	return staticDirectory{gossiper.NewView(members)}
}

// TestWeightOfDomain guards against calls to a failure domain that is evacuated, and against
// load that moves at once: the own failure domain, a, is preferred as long as its
// weight is near 1, and no more when it is low.
func TestWeightOfDomain(t *testing.T) {
	cases := map[string]struct {
		weights weights
		// least and most are the bounds of the share of domain a, by capacity, and of the
		// share without capacities.
		least, most, leastRandom, mostRandom float64
	}{
		"none evacuated":       {weights{}, 0.85, 0.98, 0.2, 0.3},
		"own one begins":       {weights{"a": 0.9}, 0.45, 0.8, 0.18, 0.28},
		"own one half emptied": {weights{"a": 0.5}, 0.1, 0.25, 0.1, 0.19},
		"own one returns":      {weights{"a": 0.05}, 0.005, 0.05, 0.005, 0.05},
		"own one emptied":      {weights{"a": 0}, 0, 0, 0, 0},
		"another one emptied":  {weights{"b": 0}, 0.85, 0.99, 0.28, 0.39},
		"two emptied":          {weights{"a": 0, "c": 0}, 0, 0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := fourDomains()
			byCapacity := balancer.New(d, "", balancer.ByCapacity("a"), balancer.WithDomains(c.weights))
			random := balancer.New(d, "", balancer.WithDomains(c.weights))
			const calls = 8000
			share := func(pick func() (*balancer.Target, bool)) float64 {
				n := 0
				for range calls {
					target, ok := pick()
					g.Expect(ok).To(BeTrue())
					g.Expect(c.weights.Weight(target.Member.GetDomain())).To(BeNumerically(">", 0))
					if target.Member.GetDomain() == "a" {
						n++
					}
					target.Done(balancer.Abandoned, 0)
				}
				return float64(n) / calls
			}
			pick := func(b *balancer.Balancer) func() (*balancer.Target, bool) {
				return func() (*balancer.Target, bool) { return b.Pick("orders", nil) }
			}
			g.Expect(share(pick(byCapacity))).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
			g.Expect(share(pick(random))).To(And(BeNumerically(">=", c.leastRandom), BeNumerically("<=", c.mostRandom)))
			share(func() (*balancer.Target, bool) {
				return byCapacity.PickInTime("orders", balancer.Need{Left: time.Second, Expected: 40 * time.Millisecond}, nil)
			})
			key := uint64(0)
			share(func() (*balancer.Target, bool) {
				key++
				return byCapacity.PickHashed("orders", balancer.Need{}, key, nil)
			})
			share(func() (*balancer.Target, bool) { key++; return byCapacity.PickIndex("orders", balancer.Need{}, key) })
		})
	}
}

// TestAllDomainsEvacuated guards against a node that is selected because no other one is left.
func TestAllDomainsEvacuated(t *testing.T) {
	g := NewWithT(t)
	all := weights{"a": 0, "b": 0, "c": 0, "d": 0}
	for _, opts := range [][]balancer.Option{nil, {balancer.ByCapacity("a")}} {
		b := balancer.New(fourDomains(), "", append(opts, balancer.WithDomains(all))...)
		_, ok := b.Pick("orders", set.Of[string]())
		g.Expect(ok).To(BeFalse())
		_, ok = b.PickInTime("orders", balancer.Need{}, nil)
		g.Expect(ok).To(BeFalse())
		_, ok = b.PickHashed("orders", balancer.Need{}, 7, nil)
		g.Expect(ok).To(BeFalse())
		_, ok = b.PickIndex("orders", balancer.Need{}, 7)
		g.Expect(ok).To(BeFalse())
	}
}
