package repeater_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/util/repeater"
)

// TestAlignedTimersFireTogether guards against a process that wakes up for each of its
// timers: loops that start at different times must call their functions at the same time.
func TestAlignedTimersFireTogether(t *testing.T) {
	cases := map[string]struct {
		offset, delay, want time.Duration
	}{
		"on a multiple":              {0, 0, 200 * time.Millisecond},
		"between two multiples":      {70 * time.Millisecond, 0, 130 * time.Millisecond},
		"just before a multiple":     {199 * time.Millisecond, 0, time.Millisecond},
		"with a delay":               {70 * time.Millisecond, 200 * time.Millisecond, 330 * time.Millisecond},
		"with a delay to a multiple": {0, 200 * time.Millisecond, 400 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				time.Sleep(c.offset)
				g.Expect(repeater.Align(c.delay, 200*time.Millisecond)).To(Equal(c.want))
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		calls := make(chan time.Time, 100)
		for range 3 {
			time.Sleep(13 * time.Millisecond)
			go repeater.RunAligned(ctx, 100*time.Millisecond, func() { calls <- time.Now() })
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		close(calls)
		times := map[time.Time]int{}
		for at := range calls {
			times[at]++
		}
		g.Expect(times).To(HaveLen(10))
		for _, count := range times {
			g.Expect(count).To(Equal(3))
		}
	})
}
