package rationer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/rationer"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/shedder"
)

// staticFleet is a fleet with a number of known nodes, to which the upstreams do not add.
type staticFleet struct {
	known     int
	endpoints []*schema.Endpoint
}

func (f *staticFleet) View() *gossiper.View {
	members := map[string]*schema.Member{}
	for i, e := range f.endpoints {
		name := fmt.Sprint("node-", i)
		members[name] = &schema.Member{Name: name, Status: schema.Status_STATUS_ALIVE, Endpoints: []*schema.Endpoint{e}}
	}
	view := gossiper.NewView(members)
	view.Known = f.known
	return view
}

// add adds upstreams of a service, of which the first ones are cold.
func (f *staticFleet) add(service string, count, cold int) {
	for i := range count {
		e := &schema.Endpoint{Service: service, Phase: schema.Phase_PHASE_READY, Limit: 100, Latency: durationpb.New(100 * time.Millisecond)}
		if i < cold {
			e.Intake, e.Cold = intake, durationpb.New(1500*time.Millisecond)
		}
		f.endpoints = append(f.endpoints, e)
	}
}

// staticCosts are the calls of routes by service.
type staticCosts map[string]map[string]float64

func (k staticCosts) KnownRoutes() []string {
	var list []string
	for name := range k {
		list = append(list, name)
	}
	return list
}

func (k staticCosts) Counts(route string) map[string]float64 { return k[route] }

func (k staticCosts) Complete(route string) bool { return k[route] != nil }

func (k staticCosts) Costs(route string) map[string]time.Duration {
	costs := map[string]time.Duration{}
	for service, count := range k[route] {
		costs[service] = time.Duration(count * float64(10*time.Millisecond))
	}
	return costs
}

var costs = staticCosts{
	"order": {"cuts": 1, "grades": 4},
	"entry": {"grades": 1},
	"sale":  {"sales": 1},
}

func newRationer(f *staticFleet, s *shedder.Shedder) *rationer.Rationer {
	return rationer.New(rationer.Options{
		Fleet: f, Costs: costs, Shedder: s, Reporter: reporter.Discard{},
		Intake: func(service string) float64 {
			if service == "sales" {
				return 0
			}
			return intake
		},
	})
}

func callOn(route, service string) *forwarder.Call {
	return &forwarder.Call{Route: &resolver.Route{Name: route, Service: service}, Service: service}
}

// TestCallsWithinIntake guards against a fleet whose nodes together admit more calls than
// cold upstreams bear, or much less, from the first moment on. No node knows another one's
// inflows, and the part of a node in a large fleet is less than one request needs.
func TestCallsWithinIntake(t *testing.T) {
	const cold = 6
	for _, nodes := range []int{1, 16, 82, 300, 1200} {
		for _, entries := range []float64{0, 0.5, 1} {
			t.Run(fmt.Sprint(nodes, " nodes, ", entries, " entries"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := &staticFleet{known: nodes}
					f.add("grades", cold, cold)
					f.add("cuts", 40, 0)
					var fleet []*rationer.Rationer
					for range nodes {
						fleet = append(fleet, newRationer(f, shedder.New(f, costs)))
					}
					rng := rand.New(rand.NewPCG(3, uint64(nodes)))
					var calls []float64
					const step = 20 * time.Millisecond
					for at := time.Duration(0); at < 3*time.Second; at += step {
						sum := 0.0
						for range max(40, nodes*44/100) {
							route, service, count := "order", "cuts", 4.0
							if rng.Float64() < entries {
								route, service, count = "entry", "grades", 1
							}
							if fleet[rng.IntN(nodes)].Admit(callOn(route, service), 2, rng.Uint32N(guard.RanksPerClass)) == nil {
								sum += count
							}
						}
						calls = append(calls, sum)
						time.Sleep(step)
					}
					total := 0.0
					for first := range calls {
						second := 0.0
						for _, n := range calls[first:min(len(calls), first+50)] {
							second += n
						}
						// The bound of operators is half as much again, and 8 for each upstream.
						g.Expect(second).To(BeNumerically("<", cold*(1.5*intake+8)))
						total += calls[first]
					}
					t.Logf("%.0f calls in 3 s of %.0f", total, 3*cold*intake)
					g.Expect(total).To(BeNumerically("<", 3*cold*intake*1.5))
					g.Expect(total).To(BeNumerically(">", 3*cold*intake*0.6))
				})
			})
		}
	}
}

// TestPriority guards against higher classes that wait for lower ones, and against classes
// and expensive requests that are shut out: a kind that is served less than a quarter as
// often as all is starved.
func TestPriority(t *testing.T) {
	type stream struct {
		route, service string
		class          schema.Class
		rate           int
	}
	cases := map[string]struct {
		first, second stream
	}{
		"higher class":              {stream{"entry", "grades", 4, 200}, stream{"entry", "grades", 1, 200}},
		"rare higher class":         {stream{"entry", "grades", 4, 40}, stream{"entry", "grades", 1, 400}},
		"fewer calls, same class":   {stream{"entry", "grades", 2, 200}, stream{"order", "cuts", 2, 200}},
		"more calls, higher class":  {stream{"order", "cuts", 4, 200}, stream{"entry", "grades", 2, 200}},
		"few of them, higher class": {stream{"order", "cuts", 4, 20}, stream{"entry", "grades", 2, 400}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &staticFleet{known: 1}
				f.add("grades", 6, 6)
				f.add("cuts", 6, 0)
				r := newRationer(f, shedder.New(f, costs))
				sent, served := [2]float64{}, [2]float64{}
				const step = 10 * time.Millisecond
				for range 3000 {
					for i, s := range []stream{c.first, c.second} {
						if rand.Float64() > float64(s.rate)*step.Seconds()/4 {
							continue
						}
						for range 4 {
							sent[i]++
							if r.Admit(callOn(s.route, s.service), s.class, rand.Uint32N(guard.RanksPerClass)) == nil {
								served[i]++
							}
						}
					}
					time.Sleep(step)
				}
				first, second := served[0]/sent[0], served[1]/sent[1]
				all := (served[0] + served[1]) / (sent[0] + sent[1])
				t.Logf("first %.3f, second %.3f, all %.3f", first, second, all)
				g.Expect(first).To(BeNumerically(">", second))
				g.Expect(second).To(BeNumerically(">", all/4))
			})
		})
	}
}

// TestAdmission guards against requests that are refused although no cold upstream is on
// their way, and against ones that are admitted before anything is known of their way.
func TestAdmission(t *testing.T) {
	const requests = 1000
	cases := map[string]struct {
		fleet          func(f *staticFleet)
		route, service string
		// after is the time from the start to the requests.
		after     time.Duration
		min, max  int
		wantRetry time.Duration
	}{
		"no cold upstream": {
			func(f *staticFleet) { f.add("grades", 6, 0); f.add("cuts", 6, 0) }, "order", "cuts", time.Minute, requests, requests, 0,
		},
		"cold upstreams elsewhere": {
			func(f *staticFleet) { f.add("grades", 6, 6); f.add("sales", 6, 0) }, "sale", "sales", time.Minute, requests, requests, 0,
		},
		"few cold upstreams among many": {
			func(f *staticFleet) { f.add("grades", 60, 1); f.add("cuts", 6, 0) }, "order", "cuts", time.Minute, requests, requests, 0,
		},
		"all cold": {
			func(f *staticFleet) { f.add("grades", 6, 6); f.add("cuts", 6, 0) }, "order", "cuts", time.Minute, 10, 20, 1500 * time.Millisecond,
		},
		"unknown costs": {
			func(f *staticFleet) { f.add("grades", 6, 6); f.add("cuts", 6, 0) }, "refund", "cuts", time.Minute, 10, 20, 1500 * time.Millisecond,
		},
		"no upstream known at the start": {
			func(f *staticFleet) { f.add("cuts", 6, 0) }, "order", "cuts", 0, 0, 0, 250 * time.Millisecond,
		},
		"no upstream known later": {
			func(f *staticFleet) { f.add("cuts", 6, 0) }, "order", "cuts", time.Minute, requests, requests, 0,
		},
		"no upstream of a service that is never cold known at the start": {
			func(f *staticFleet) { f.add("cuts", 6, 0) }, "sale", "sales", 0, requests, requests, 0,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &staticFleet{known: 1}
				c.fleet(f)
				s := shedder.New(f, costs)
				r := newRationer(f, s)
				time.Sleep(c.after)
				admitted, shortest, longest := 0, time.Hour, time.Duration(0)
				for range requests {
					err := r.Admit(callOn(c.route, c.service), 2, rand.Uint32N(guard.RanksPerClass))
					if err == nil {
						admitted++
					} else {
						var refusal *refuser.Error
						g.Expect(errors.As(err, &refusal)).To(BeTrue())
						g.Expect(refusal.Code).To(Equal(refuser.ServiceCold))
						shortest, longest = min(shortest, refusal.Detail.RetryAfter), max(longest, refusal.Detail.RetryAfter)
					}
					time.Sleep(time.Millisecond)
				}
				g.Expect(admitted).To(And(BeNumerically(">=", c.min), BeNumerically("<=", c.max)))
				if c.wantRetry > 0 {
					g.Expect(shortest).To(BeNumerically(">=", c.wantRetry))
					g.Expect(longest).To(BeNumerically("<", c.wantRetry+1250*time.Millisecond))
				}
				if c.route == "refund" {
					return
				}
				inflow := s.Inflows()[0]
				g.Expect(inflow.GetOffered()).To(BeNumerically(">", 600), "refused requests count as offered")
				g.Expect(float64(inflow.GetAdmitted())).To(BeNumerically("~", 632*admitted/requests, 10))
			})
		})
	}
}

// TestShareFollowsOffers guards against a node that uses only its even part while callers
// send all requests to it, and against nodes that have not met and each take all.
func TestShareFollowsOffers(t *testing.T) {
	cases := map[string]struct {
		// peers is the number of other nodes whose inflows are known, which offer as much
		// in all as the rate says.
		peers int
		rate  float32
		// steps is the number of requests, at 100 per second.
		steps int
		want  float64
	}{
		"others have not been met":        {0, 0, 150, 1.0 / 8},
		"others get as much":              {7, 700, 500, 1.0 / 8},
		"half of the others met":          {3, 233, 150, 1.0 / 8},
		"others get a seventh":            {7, 100, 500, 0.5},
		"others get nothing, after while": {0, 0, 500, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &staticFleet{known: 8}
				f.add("grades", 8, 8)
				s := shedder.New(f, costs)
				r := newRationer(f, s)
				const step = 10 * time.Millisecond
				for range c.steps {
					_ = r.Admit(callOn("entry", "grades"), 2, 0)
					time.Sleep(step)
					other := shedder.New(f, costs)
					for i := range c.peers {
						_ = other.Admit(callOn("entry", "grades"), 2, 0)
						inflows := other.Inflows()
						inflows[0].Offered = c.rate / float32(c.peers)
						s.StoreInflows(fmt.Sprint(i), inflows)
					}
					s.Inflows()
				}
				g.Expect(r.Budgets()["grades"].Rate / r.Budgets()["grades"].Bears).To(BeNumerically("~", c.want, 0.1*c.want))
			})
		})
	}
}
