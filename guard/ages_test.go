package guard_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/guard"
)

// TestSlowUpstreamShows guards against an upstream that has become slow, or hangs, and is
// still sent as many requests as before because none of the slow ones has ended. Load
// pattern: an upstream becomes twelve times slower, or hangs, under steady load, and is
// fast again later.
func TestSlowUpstreamShows(t *testing.T) {
	const latency = 100 * time.Millisecond
	cases := map[string]struct {
		slowdown float64
		// within is the time in which the described latency must be three times higher.
		within time.Duration
	}{
		"twelve times slower": {12, 400 * time.Millisecond},
		"hangs":               {1000, 400 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rng := rand.New(rand.NewPCG(1, 2))
				slot := guard.New(guard.InitialLimit(75), guard.FixedLimit(), guard.QueueBelowLevel())
				described := func() time.Duration { return slot.Describe().GetLatency().AsDuration() }
				ctx, cancel := context.WithCancel(context.Background())
				slowdown := 1.0
				send := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						permit, err := slot.Acquire(ctx, guard.Request{Objective: time.Second, Expected: latency})
						if err != nil {
							continue
						}
						took := time.Duration(float64(latency) * slowdown * (0.5 + rng.Float64()))
						go func() {
							select {
							case <-time.After(took):
							case <-ctx.Done():
							}
							permit.Release()
						}()
					}
				}
				send(2 * time.Second)
				g.Expect(described()).To(BeNumerically("~", latency, latency/3))
				slowdown = c.slowdown
				send(c.within)
				t.Logf("described %v after %v", described(), c.within)
				g.Expect(described()).To(BeNumerically(">", 3*latency))
				cancel()
				synctest.Wait()
				time.Sleep(6 * time.Second)
				g.Expect(described()).To(BeNumerically("<", 3*latency), "it is tried again")
				g.Expect(slot.Describe().GetPace()).To(BeNumerically(">", 2), "it is not taken for a fast one")
				slowdown = 1
				ctx, cancel = context.WithCancel(context.Background())
				defer cancel()
				send(500 * time.Millisecond)
				g.Expect(slot.Describe().GetPace()).To(BeNumerically("<", 1.5), "it is fast again")
			})
		})
	}
}

// TestFirstRequestsSayLittle guards against a herd: the nodes of a large fleet would all
// send their requests to the upstream whose first request happened to be short.
func TestFirstRequestsSayLittle(t *testing.T) {
	cases := map[string]struct {
		took []time.Duration
		// least and most are the bounds of the described pace.
		least, most float64
	}{
		"no request":              {nil, 0, 0},
		"one short request":       {[]time.Duration{10 * time.Millisecond}, 0.8, 1},
		"one long request":        {[]time.Duration{300 * time.Millisecond}, 1, 1.3},
		"a hundred fast requests": {make([]time.Duration, 100), 0, 0.4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				slot := guard.New(guard.InitialLimit(75), guard.FixedLimit(), guard.QueueBelowLevel())
				for _, took := range c.took {
					permit, err := slot.Acquire(t.Context(), guard.Request{Expected: 100 * time.Millisecond})
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(took)
					permit.Release()
				}
				g.Expect(slot.Describe().GetPace()).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
			})
		})
	}
}
