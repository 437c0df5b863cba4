package shedder_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/shedder"
)

// staticFleet is a fleet in which upstreams do not change.
type staticFleet map[string]*schema.Member

func (f staticFleet) View() *gossiper.View { return gossiper.NewView(f) }

// add adds an upstream with a number of slots, a latency and a mean load.
func (f staticFleet) add(service string, slots uint32, latency time.Duration, busy float32) {
	name := fmt.Sprint("node-", len(f))
	f[name] = &schema.Member{
		Name: name, Status: schema.Status_STATUS_ALIVE, Incarnation: 1,
		Endpoints: []*schema.Endpoint{{
			Service: service, Phase: schema.Phase_PHASE_READY, Limit: slots, Busy: busy, Latency: durationpb.New(latency),
		}},
	}
}

// staticCosts are the slot times of routes by service, with one arrival at each.
type staticCosts map[string]map[string]time.Duration

func (k staticCosts) KnownRoutes() []string { return slices.Collect(maps.Keys(k)) }

func (k staticCosts) Costs(route string) map[string]time.Duration { return k[route] }

func (k staticCosts) Counts(route string) map[string]float64 {
	counts := map[string]float64{}
	for service := range k[route] {
		counts[service] = 1
	}
	return counts
}

// stream describes requests that callers send to one node.
type stream struct {
	node  int
	route string
	class schema.Class
	rate  float64
}

// testContext is the context of the current case.
var testContext context.Context

// admittedShares sends streams to a number of nodes for a duration and returns the
// admitted share of each in the second half of it.
func admittedShares(f staticFleet, k shedder.CostSource, nodes int, streams []stream, d time.Duration) []float64 {
	rng := rand.New(rand.NewPCG(5, 6))
	var fleet []*shedder.Shedder
	for range nodes {
		fleet = append(fleet, shedder.New(f, k))
	}
	for _, r := range fleet {
		go r.Run(testContext)
	}
	offered, admitted := make([]float64, len(streams)), make([]float64, len(streams))
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		for i, s := range streams {
			for n := s.rate * step.Seconds(); n > 0; n-- {
				if n < 1 && rng.Float64() > n {
					break
				}
				c := &forwarder.Call{Route: &resolver.Route{Name: s.route, Service: "entry"}, Service: "entry"}
				err := fleet[s.node].Admit(c, s.class, rng.Uint32N(guard.RanksPerClass))
				if at < d/2 {
					continue
				}
				offered[i]++
				if err == nil {
					admitted[i]++
				}
			}
		}
		if at%(400*time.Millisecond) == 0 {
			exchangeInflows(fleet)
		}
		time.Sleep(step)
	}
	shares := make([]float64, len(streams))
	for i := range shares {
		shares[i] = admitted[i] / max(offered[i], 1)
	}
	return shares
}

// exchangeInflows gives each node the inflows of all others.
func exchangeInflows(fleet []*shedder.Shedder) {
	for i, r := range fleet {
		for j, other := range fleet {
			if i != j {
				r.StoreInflows(fmt.Sprint(j), other.Inflows())
			}
		}
	}
}

// TestAdmittedShares guards against admitting the wrong requests in an overload,
// such as those of a low class before those of a higher one, and against refusing
// more than needed. Two nodes that exchange inflows get different streams.
func TestAdmittedShares(t *testing.T) {
	// The registry can serve 100 requests per second of 100 ms.
	registry := func() staticFleet {
		f := staticFleet{}
		f.add("registry", 10, 100*time.Millisecond, 10)
		f.add("library", 100, 100*time.Millisecond, 10)
		return f
	}
	costs := staticCosts{
		"order":      {"registry": 100 * time.Millisecond},
		"long order": {"registry": 200 * time.Millisecond},
		"look-up":    {"registry": 100 * time.Millisecond},
		"preview":    {"registry": 25 * time.Millisecond},
		"download":   {"library": 100 * time.Millisecond},
		"both":       {"registry": 100 * time.Millisecond, "library": 900 * time.Millisecond},
	}
	type bounds struct{ low, high float64 }
	cases := map[string]struct {
		fleet   func() staticFleet
		streams []stream
		want    []bounds
	}{
		"normal load": {
			registry,
			[]stream{{0, "order", 4, 30}, {1, "look-up", 2, 30}},
			[]bounds{{1, 1}, {1, 1}},
		},
		"high class at one node, lower class at another": {
			registry,
			[]stream{{0, "order", 4, 60}, {1, "look-up", 2, 140}},
			[]bounds{{0.95, 1}, {0.2, 0.42}},
		},
		"ten times the capacity, no class is shut out": {
			registry,
			[]stream{{0, "order", 4, 500}, {1, "look-up", 2, 500}},
			[]bounds{{0.1, 0.14}, {0.07, 0.1}},
		},
		"capacity for a fifth, high class takes twice the slot time": {
			func() staticFleet {
				f := staticFleet{}
				// The mean of 38 long and 24 short requests per second.
				f.add("registry", 10, 161*time.Millisecond, 10)
				return f
			},
			[]stream{{0, "long order", 4, 160}, {1, "look-up", 2, 160}},
			[]bounds{{0.2, 0.3}, {0.14, 0.2}},
		},
		"callers of another service are not refused": {
			registry,
			[]stream{{0, "look-up", 2, 400}, {1, "download", 2, 40}},
			[]bounds{{0.15, 0.35}, {1, 1}},
		},
		"short requests before long ones of the same class": {
			func() staticFleet {
				f := staticFleet{}
				// The mean of 62 long and 150 short requests per second.
				f.add("registry", 10, 47*time.Millisecond, 10)
				return f
			},
			[]stream{{0, "look-up", 2, 150}, {1, "preview", 2, 150}},
			[]bounds{{0.3, 0.6}, {0.95, 1}},
		},
		"free slots of a twelve times slower upstream are no capacity": {
			func() staticFleet {
				f := staticFleet{}
				f.add("registry", 10, 100*time.Millisecond, 10)
				f.add("registry", 10, 1200*time.Millisecond, 0)
				return f
			},
			[]stream{{0, "look-up", 2, 200}},
			[]bounds{{0.4, 0.7}},
		},
		"requests refused for one service are not offered to another": {
			func() staticFleet {
				f := staticFleet{}
				f.add("registry", 10, 100*time.Millisecond, 10)
				f.add("library", 100, 900*time.Millisecond, 90)
				return f
			},
			[]stream{{0, "both", 2, 200}, {1, "download", 2, 10}},
			[]bounds{{0.4, 0.6}, {1, 1}},
		},
		"cold upstreams do what they bear": {
			func() staticFleet {
				f := staticFleet{}
				for i := range 4 {
					f.add("registry", 100, 100*time.Millisecond, 1.2)
					e := f[fmt.Sprint("node-", i)].Endpoints[0]
					e.Cold, e.Intake = durationpb.New(time.Minute), 12
				}
				return f
			},
			[]stream{{0, "look-up", 2, 140}},
			[]bounds{{0.25, 0.45}},
		},
		"estimate is corrected for an idle service": {
			func() staticFleet {
				f := staticFleet{}
				f.add("registry", 10, 100*time.Millisecond, 1)
				return f
			},
			[]stream{{0, "look-up", 2, 140}},
			[]bounds{{0.95, 1}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testContext = t.Context()
				shares := admittedShares(c.fleet(), costs, 2, c.streams, 20*time.Second)
				t.Logf("admitted: %.3f", shares)
				for i, b := range c.want {
					g.Expect(shares[i]).To(And(BeNumerically(">=", b.low), BeNumerically("<=", b.high)), c.streams[i].route)
				}
			})
		})
	}
}

// TestAllAdmittedAfterOverload guards against refusing requests after a surge has
// ended and the node that received part of it no longer sends inflows.
func TestAllAdmittedAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := staticFleet{}
		f.add("registry", 10, 100*time.Millisecond, 10)
		r := shedder.New(f, staticCosts{"look-up": {"registry": 100 * time.Millisecond}})
		go r.Run(t.Context())
		other := shedder.New(f, staticCosts{})
		c := &forwarder.Call{Route: &resolver.Route{Name: "look-up", Service: "registry"}, Service: "registry"}
		for range 500 {
			g.Expect(other.Admit(c, 2, 0)).To(Succeed())
			g.Expect(r.Admit(c, 2, guard.RanksPerClass-1)).To(Succeed())
		}
		r.StoreInflows("other", other.Inflows())
		time.Sleep(300 * time.Millisecond)
		g.Expect(r.Admit(c, 2, 0)).NotTo(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(r.Admit(c, 2, 0)).To(Succeed())
	})
}
