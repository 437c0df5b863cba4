package throttler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/throttler"
)

type counts map[string]map[string]float64

func (c counts) Counts(route string) map[string]float64 { return c[route] }

// pool is a shared token bucket for each service.
type pool struct {
	budget  throttler.Budget
	buckets map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (p *pool) Draw(_ context.Context, service string, tokens float64) bool {
	rate, size, initial := p.budget.Shared()
	b := p.buckets[service]
	if b == nil {
		b = &bucket{initial, time.Now()}
		p.buckets[service] = b
	}
	b.tokens = min(size, b.tokens+rate*time.Since(b.refilledAt).Seconds())
	b.refilledAt = time.Now()
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// TestFleetStaysWithinBudget guards against retries that overload a service of
// which every upstream rejects half of the requests, and against extra arrivals that grow
// with the number of nodes. All nodes request an extra attempt for each call, while
// callers send some requests to the service directly. In every window, also that of the
// start, the extra arrivals of all nodes must stay within the budget.
func TestFleetStaysWithinBudget(t *testing.T) {
	budget := throttler.Budget{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	cases := map[string]struct {
		requestRate float64 // requests per second of callers at each node
		route       string
		arrivals    float64 // arrivals at the deepest service per extra attempt
		nodes       int
	}{
		"retries of single calls":         {2, "list", 1, 16},
		"no caller requests":              {0, "list", 1, 16},
		"retries of whole requests":       {2, "look-up", 4, 16},
		"retries of single calls, 196":    {0.2, "list", 1, 196},
		"no caller requests, 1200":        {0, "list", 1, 1200},
		"retries of whole requests, 1200": {0.05, "look-up", 4, 1200},
	}
	costs := counts{"list": {"registry": 1}, "look-up": {"sizes": 1, "registry": 4}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var nodes []*throttler.Throttler
				shared := &pool{budget, map[string]*bucket{}}
				for range c.nodes {
					nodes = append(nodes, throttler.New(budget, costs, shared))
				}
				service := "registry"
				if c.route == "look-up" {
					service = "sizes"
				}
				var extra []time.Time
				requests, due := 0, 0.0
				for step := range 4000 {
					time.Sleep(10 * time.Millisecond)
					for _, n := range nodes {
						if due += c.requestRate / 100; due >= 1 {
							due--
							requests++
							n.RecordRequest("registry", "grade", false)
						}
						if n.AllowRetry(t.Context(), service, c.route) {
							for range int(c.arrivals) {
								extra = append(extra, time.Now())
							}
						}
					}
					for len(extra) > 0 && time.Since(extra[0]) > budget.Window {
						extra = extra[1:]
					}
					bound := budget.Slack + budget.Ratio*float64(requests)
					if step > 1000 {
						bound = budget.Slack + budget.Ratio*float64(c.nodes)*c.requestRate*budget.Window.Seconds()
					}
					g.Expect(float64(len(extra))).To(BeNumerically("<=", bound))
				}
				t.Logf("%d requests of callers; %d extra arrivals in the last window", requests, len(extra))
				g.Expect(extra).NotTo(BeEmpty())
			})
		})
	}
}
