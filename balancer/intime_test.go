package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/balancer"
	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

// registry is a service of six upstreams of unlike speeds, one in each failure domain.
type registry struct {
	members map[string]*schema.Member
	speeds  map[string]float64
	active  map[string]uint32
	rng     *rand.Rand
}

const (
	// meanWork is the mean time of a call at an upstream of speed 1.
	meanWork = 160 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of that time.
	workSpread = 0.5
)

func newRegistry() *registry {
	r := &registry{map[string]*schema.Member{}, map[string]float64{}, map[string]uint32{}, rand.New(rand.NewPCG(1, 2))}
	for i, speed := range []float64{0.7, 1.6, 0.7, 1.6, 0.7, 1.6} {
		name := fmt.Sprint("node-", i)
		r.speeds[name] = speed
		r.members[name] = &schema.Member{
			Name: name, Domain: fmt.Sprint("domain-", i), Status: schema.Status_STATUS_ALIVE, Incarnation: 1,
			Endpoints: []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY}},
		}
	}
	return r
}

// report passes the load of all upstreams to a balancer.
func (r *registry) report(b *balancer.Balancer) {
	for name, m := range r.members {
		e := endpoint(r.active[name], time.Duration(float64(meanWork)/r.speeds[name]))
		e.Limit = 75
		b.RecordLoad(m, e)
	}
}

// run takes the time of a call at an upstream.
func (r *registry) run(name string) time.Duration {
	work := float64(meanWork) * math.Exp(workSpread*r.rng.NormFloat64()-workSpread*workSpread/2)
	return time.Duration(work / r.speeds[name])
}

// TestCallsInTurn guards against requests that fail because each of several calls in turn
// goes to the slow upstream of the own failure domain, so that the last one has no time
// left. Load pattern: requests that make four calls in turn, in all of which they must end
// within a second, from a failure domain whose upstream is slow.
func TestCallsInTurn(t *testing.T) {
	const calls, limit, requests = 4, time.Second, 30000
	cases := map[string]struct {
		// busy is the number of calls at each upstream, of 75.
		busy uint32
		// least and most are the bounds of the share of requests that fail.
		least, most float64
		inTime      bool
	}{
		"light load, by capacity":       {20, 0.01, 1, false},
		"light load, in time":           {20, 0, 0.003, true},
		"heavy load of fast, in time":   {70, 0, 0.02, true},
		"heavy load of fast, otherwise": {70, 0.05, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newRegistry()
				for name, speed := range r.speeds {
					r.active[name] = c.busy
					if speed < 1 {
						r.active[name] = c.busy / 3
					}
				}
				b := balancer.New(staticDirectory{gossiper.NewView(r.members)}, "", balancer.ByCapacity("domain-0"))
				r.report(b)
				failed := 0
				for range requests {
					left := limit
					for i := range calls {
						var target *balancer.Target
						if c.inTime {
							inTurn := time.Duration(calls - i)
							target, _ = b.PickInTime("orders", balancer.Need{Left: left, Expected: meanWork * inTurn, Calls: calls - i}, nil)
						} else {
							target, _ = b.Pick("orders", nil)
						}
						took := r.run(target.Member.GetName())
						left -= took
						target.Done(balancer.Answered, took)
					}
					if left < 0 {
						failed++
					}
				}
				share := float64(failed) / requests
				t.Logf("%s: %.4f of the requests had no time left", name, share)
				g.Expect(share).To(BeNumerically(">=", c.least))
				g.Expect(share).To(BeNumerically("<=", c.most))
			})
		})
	}
}
