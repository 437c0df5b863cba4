package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
)

// TestLifetime guards against requests that a stopping node takes shortly before its end and
// then breaks off, although their callers could have gone to another node, and against
// requests that are refused although they end in time.
func TestLifetime(t *testing.T) {
	cases := map[string]struct {
		end, elapsed, timeout, objective time.Duration
		taken                            bool
		limit                            time.Duration
	}{
		"short, at the begin":               {5 * time.Second, 0, time.Second, time.Second, true, time.Second},
		"short, late":                       {5 * time.Second, 3900 * time.Millisecond, time.Second, time.Second, true, time.Second},
		"short, too late":                   {5 * time.Second, 4100 * time.Millisecond, time.Second, time.Second, false, 900 * time.Millisecond},
		"long, at the begin":                {5 * time.Second, 0, 6 * time.Second, time.Second, true, 5 * time.Second},
		"long, early":                       {5 * time.Second, 2400 * time.Millisecond, 6 * time.Second, time.Second, true, 2600 * time.Millisecond},
		"long, late":                        {5 * time.Second, 2600 * time.Millisecond, 6 * time.Second, time.Second, false, 2400 * time.Millisecond},
		"long, shortly before the end":      {5 * time.Second, 3700 * time.Millisecond, 6 * time.Second, time.Second, false, 1300 * time.Millisecond},
		"just within the time that is left": {5 * time.Second, 3500 * time.Millisecond, 1500 * time.Millisecond, time.Second, true, 1500 * time.Millisecond},
		"just beyond the time that is left": {5 * time.Second, 3500 * time.Millisecond, 1600 * time.Millisecond, time.Second, false, 1500 * time.Millisecond},
		"quick stop, long, early":           {1600 * time.Millisecond, 900 * time.Millisecond, 6 * time.Second, time.Second, true, 700 * time.Millisecond},
		"quick stop, long, late":            {1600 * time.Millisecond, time.Second, 6 * time.Second, time.Second, false, 600 * time.Millisecond},
		"after the end":                     {5 * time.Second, 6 * time.Second, time.Second, time.Second, false, -time.Second},
		"slow objective, early":             {5 * time.Second, 2400 * time.Millisecond, 6 * time.Second, 4 * time.Second, true, 2600 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l := &forwarder.Lifetime{}
				l.Stop(time.Now().Add(c.end))
				time.Sleep(c.elapsed)
				deadline, ok := l.Limit(time.Now().Add(c.timeout), c.objective)
				g.Expect(ok).To(Equal(c.taken))
				g.Expect(time.Until(deadline)).To(Equal(c.limit))
			})
		})
	}
}
