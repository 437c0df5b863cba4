package throttler_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/throttler"
)

type counts map[string]map[string]float64

func (c counts) Counts(route string) map[string]float64 { return c[route] }

// TestFleetStaysWithinBudget guards against retries that overload a service of
// which every upstream rejects half of the requests. Sixteen nodes request an
// extra attempt for each call, while callers send some requests to the service
// directly. In every window the extra arrivals of all nodes must stay within the
// budget.
func TestFleetStaysWithinBudget(t *testing.T) {
	budget := throttler.Budget{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	cases := map[string]struct {
		requestRate float64 // requests per second of callers at each node
		route       string
		arrivals    float64 // arrivals at the deepest service per extra attempt
	}{
		"retries of single calls":   {2, "list", 1},
		"no caller requests":        {0, "list", 1},
		"retries of whole requests": {2, "look-up", 4},
	}
	costs := counts{"list": {"registry": 1}, "look-up": {"sizes": 1, "registry": 4}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var nodes []*throttler.Throttler
				for range 16 {
					nodes = append(nodes, throttler.New(budget, costs, func() int { return 16 }))
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
						if n.AllowRetry(service, c.route) {
							for range int(c.arrivals) {
								extra = append(extra, time.Now())
							}
						}
					}
					for len(extra) > 0 && time.Since(extra[0]) > budget.Window {
						extra = extra[1:]
					}
					if step > 1000 {
						bound := budget.Ratio*16*c.requestRate*budget.Window.Seconds() + budget.Slack
						g.Expect(float64(len(extra))).To(BeNumerically("<=", bound))
					}
				}
				t.Logf("%d requests of callers; %d extra arrivals in the last window", requests, len(extra))
				g.Expect(extra).NotTo(BeEmpty())
			})
		})
	}
}
