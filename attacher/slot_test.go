package attacher

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/schema"
)

// TestSlots guards against watches that end together, so that the loss of the platform shows
// late, and against ones that start more often than the platform is to be called. The watches
// of all watchers begin at the same time and take as long as they wait.
func TestSlots(t *testing.T) {
	cases := map[string]struct {
		nodes      int
		gap        time.Duration
		perSecond  float64
		startDelay time.Duration
	}{
		"one node":          {1, 500 * time.Millisecond, 2, 0},
		"two nodes":         {2, 250 * time.Millisecond, 4, 0},
		"six domains":       {84, 250 * time.Millisecond, 4, 0},
		"six domains, late": {84, 250 * time.Millisecond, 4, 777 * time.Millisecond},
		"large":             {1200, 250 * time.Millisecond, 4, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				time.Sleep(c.startDelay)
				view, began := viewOf(c.nodes), time.Now()
				var watchers []*schema.Member
				for _, domain := range view.Domains() {
					watchers = append(watchers, view.Watchers(domain)...)
				}
				next := make([]time.Time, len(watchers))
				for i, w := range watchers {
					next[i] = began.Add(slotWait(view, w.GetName(), watchStartsPerSecond))
				}
				var ends []time.Time
				for time.Since(began) < 30*time.Second {
					at := slices.MinFunc(next, time.Time.Compare)
					time.Sleep(time.Until(at))
					for i, w := range watchers {
						if !next[i].After(time.Now()) {
							ends = append(ends, next[i])
							next[i] = time.Now().Add(slotWait(view, w.GetName(), watchStartsPerSecond))
						}
					}
				}
				gap := time.Duration(0)
				for i := range len(ends) - 1 {
					gap = max(gap, ends[i+1].Sub(ends[i]))
				}
				g.Expect(gap).To(BeNumerically("<=", c.gap+minSlotWait), fmt.Sprint(len(watchers), " watchers"))
				g.Expect(float64(len(ends)) / 30).To(BeNumerically("~", c.perSecond, 0.1))
			})
		})
	}
}
