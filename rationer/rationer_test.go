package rationer_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/rationer"
)

type counts map[string]map[string]float64

func (c counts) Counts(route string) map[string]float64 { return c[route] }

// TestFleetKeepsTheRation plays the pattern "every upstream of the deepest
// service turns half of its requests away": sixteen nodes want an extra attempt
// for each call, and callers ask some requests of that service directly. In
// every window the extra arrivals of all nodes stay within the ration.
func TestFleetKeepsTheRation(t *testing.T) {
	ration := rationer.Ration{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	cases := map[string]struct {
		asked float64 // requests a second of callers at each node
		route string
		each  float64 // arrivals at the deepest service for an extra attempt
	}{
		"short calls":          {2, "list", 1},
		"no requests":          {0, "list", 1},
		"whole requests again": {2, "look-up", 4},
	}
	costs := counts{"list": {"registry": 1}, "look-up": {"sizes": 1, "registry": 4}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var nodes []*rationer.Rationer
				for range 16 {
					nodes = append(nodes, rationer.New(ration, costs, func() int { return 16 }))
				}
				service := "registry"
				if c.route == "look-up" {
					service = "sizes"
				}
				var extra []time.Time
				asked, owed := 0, 0.0
				for step := range 4000 {
					time.Sleep(10 * time.Millisecond)
					for _, n := range nodes {
						if owed += c.asked / 100; owed >= 1 {
							owed--
							asked++
							n.RecordRequest("registry", "grade", false)
						}
						if n.AllowRetry(service, c.route) {
							for range int(c.each) {
								extra = append(extra, time.Now())
							}
						}
					}
					for len(extra) > 0 && time.Since(extra[0]) > ration.Window {
						extra = extra[1:]
					}
					if step > 1000 {
						bound := ration.Ratio*16*c.asked*ration.Window.Seconds() + ration.Slack
						g.Expect(float64(len(extra))).To(BeNumerically("<=", bound))
					}
				}
				t.Logf("%d asked; in the last window %d extra", asked, len(extra))
				g.Expect(extra).NotTo(BeEmpty())
			})
		})
	}
}
