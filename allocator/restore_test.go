package allocator_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestRestore guards against two failures in an overload in which 40 % of the
// admitted requests are refused later for lack of capacity and all refused
// callers retry once. A workspace within its rate must not run out of tokens by
// the retries, and one that sends eight times its rate must not have much more
// than its rate admitted.
func TestRestore(t *testing.T) {
	const (
		rate    = 160.0
		refused = 0.4
	)
	cases := map[string]struct {
		demand    float64 // first attempts, as a multiple of the rate
		restore   bool
		overLimit [2]float64 // range of the share of first attempts refused by the rate limit
		admitted  [2]float64 // range of the requests with a token, as a multiple of the rate
	}{
		"within its rate":                  {0.95, true, [2]float64{0, 0.06}, [2]float64{0.9, 1.5}},
		"within its rate, no restore":      {0.95, false, [2]float64{0.15, 1}, [2]float64{0.9, 1.3}},
		"eight times its rate":             {8, true, [2]float64{0.8, 1}, [2]float64{0.9, 1.3}},
		"eight times its rate, no restore": {8, false, [2]float64{0.8, 1}, [2]float64{0.9, 1.3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, 4, rate, rate)
				rng := rand.New(rand.NewPCG(11, 12))
				requests, overLimit, admitted := 0.0, 0.0, 0.0
				var retries []time.Time
				// sendRequest sends one request and reports whether the caller retries.
				sendRequest := func(counted, first bool) bool {
					n := f.nodes[rng.IntN(len(f.nodes))]
					if first && counted {
						requests++
					}
					if n.Admit(t.Context(), "gloves", 0) != nil {
						if first && counted {
							overLimit++
						}
						return true
					}
					if counted {
						admitted++
					}
					if rng.Float64() >= refused {
						return false
					}
					if c.restore {
						n.Restore("gloves")
					}
					return true
				}
				const length, step = 20 * time.Second, 5 * time.Millisecond
				for at := time.Duration(0); at < length; at += step {
					counted := at > length/4
					for len(retries) > 0 && !retries[0].After(time.Now()) {
						retries = retries[1:]
						sendRequest(counted, false)
					}
					for n := c.demand * rate * step.Seconds(); n > 0; n-- {
						if n < 1 && rng.Float64() > n {
							break
						}
						if sendRequest(counted, true) {
							retries = append(retries, time.Now().Add(400*time.Millisecond))
						}
					}
					if at%(200*time.Millisecond) == 0 {
						f.exchange()
					}
					time.Sleep(step)
				}
				seconds := (length * 3 / 4).Seconds()
				t.Logf("refused by the rate limit %.3f, admitted %.2f times the rate", overLimit/requests, admitted/seconds/rate)
				g.Expect(overLimit / requests).To(And(BeNumerically(">=", c.overLimit[0]), BeNumerically("<=", c.overLimit[1])))
				g.Expect(admitted / seconds / rate).To(And(BeNumerically(">=", c.admitted[0]), BeNumerically("<=", c.admitted[1])))
			})
		})
	}
}
