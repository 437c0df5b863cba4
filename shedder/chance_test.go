package shedder_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// countedCosts are the costs of routes of which a request makes several calls to a
// service: costs as in staticCosts and counts by route and service.
type countedCosts struct {
	staticCosts
	counts map[string]map[string]float64
}

func (k countedCosts) Counts(route string) map[string]float64 { return k.counts[route] }

// TestRequestsWithoutChance guards against running requests of which the last of several
// calls is rejected: all their work is lost, and their callers are told only then. Load
// pattern: upstreams of the deepest service reject calls without being full. Each case
// states the shares rejected by its two upstreams and the admitted shares of
// requests with eight calls, four calls and one call to the service.
func TestRequestsWithoutChance(t *testing.T) {
	cases := map[string]struct {
		rejecting [2]float32
		want      [3]float64
	}{
		"no rejections":          {[2]float32{0, 0}, [3]float64{1, 1, 1}},
		"few rejections":         {[2]float32{0.05, 0.05}, [3]float64{1, 1, 1}},
		"both reject one in two": {[2]float32{0.55, 0.55}, [3]float64{0.05, 0.41, 1}},
		"one rejects one in two": {[2]float32{0.55, 0}, [3]float64{1, 1, 1}},
		"both reject nearly all": {[2]float32{0.99, 0.99}, [3]float64{0.05, 0.05, 0.1}},
	}
	routes := []string{"eight", "four", "one"}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				testContext = ctx
				fleet := staticFleet{}
				for i, rejecting := range c.rejecting {
					fleet.add("grades", 200, 50*time.Millisecond, 20)
					e := fleet[fmt.Sprint("node-", i)].Endpoints[0]
					e.Rejecting, e.Failing = rejecting, rejecting
				}
				costs := countedCosts{staticCosts: staticCosts{}, counts: map[string]map[string]float64{}}
				var streams []stream
				for i, count := range []float64{8, 4, 1} {
					costs.staticCosts[routes[i]] = map[string]time.Duration{"grades": time.Duration(count) * 50 * time.Millisecond}
					costs.counts[routes[i]] = map[string]float64{"grades": count}
					streams = append(streams, stream{route: routes[i], class: 9, rate: 60})
				}
				shares := admittedShares(fleet, costs, 1, streams, 20*time.Second)
				for i, share := range shares {
					g.Expect(share).To(BeNumerically("~", c.want[i], 0.06), routes[i])
				}
			})
		})
	}
}
