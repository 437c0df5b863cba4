package rationer_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// callers are the routes of callers.
var callers = []string{"look-up", "order", "download", "entry"}

// loadPattern is a fault in a fleet under load.
type loadPattern struct {
	options
	seconds int
	events  func(*simulation) map[int]func()
	// crashes is the number of crashes that the fault itself causes.
	crashes int
	// half and whole are the seconds from which half of the requests and minWhole of them must
	// be served.
	half, whole int
	minWhole    float64
	// maxLost is the largest part of all requests that may fail after they were admitted.
	maxLost float64
}

var loadPatterns = map[string]loadPattern{
	"all upstreams cold at once": {
		options: options{cold: true}, seconds: 9, half: 4, whole: 5, minWhole: 0.98, maxLost: 0.04,
	},
	"all upstreams cold at once, with recorded costs": {
		options: options{cold: true, recorded: record()}, seconds: 9, half: 4, whole: 5, minWhole: 0.98, maxLost: 0.04,
	},
	"all upstreams cold at once, and one falls over in between": {
		options: options{cold: true, recorded: record()}, seconds: 11, half: 4, whole: 8, minWhole: 0.97, maxLost: 0.04, crashes: 1,
		events: func(sim *simulation) map[int]func() { return map[int]func(){2: func() { sim.crashOne("grades") }} },
	},
	"all upstreams of the deepest service cold": {
		options: options{met: true}, seconds: 12, half: 8, whole: 9, minWhole: 0.97, maxLost: 0.06,
		events: func(sim *simulation) map[int]func() { return map[int]func(){4: func() { sim.turnCold("grades") }} },
	},
}

// TestLoadPatterns guards against cold upstreams that the fleet keeps from coming back, and
// against work done for requests that then fail at cold upstreams. It plays each pattern
// without a guard and a rationer, without a rationer, and with both.
func TestLoadPatterns(t *testing.T) {
	for name, p := range loadPatterns {
		for _, nodes := range []int{16, 82, 300} {
			t.Run(fmt.Sprint(name, ", ", nodes, " nodes"), func(t *testing.T) {
				g := NewWithT(t)
				p.nodes = nodes
				baseline := 0.0
				if nodes < 300 {
					before, unrationed := p, p
					before.unguarded, before.unrationed, unrationed.unrationed = true, true, true
					crashes, _ := before.play(t, "neither").crashes()
					g.Expect(crashes).To(BeNumerically(">", 5*max(p.crashes, 1)), "the pattern is harmless")
					baseline = sum(unrationed.play(t, "guard only").shares(callers...))
				}
				sim := p.play(t, "both")
				crashes, most := sim.crashes()
				g.Expect(crashes).To(Equal(p.crashes))
				g.Expect(most).To(BeNumerically("<=", 1))
				shares := sim.shares(callers...)
				g.Expect(sum(shares)).To(BeNumerically(">", 1.02*baseline))
				for second := p.half; second < p.seconds; second++ {
					g.Expect(shares[second]).To(BeNumerically(">", 0.5), "second %d", second)
				}
				for second := p.whole; second < p.seconds; second++ {
					g.Expect(shares[second]).To(BeNumerically(">", p.minWhole), "second %d", second)
				}
				g.Expect(sim.lost / sim.total()).To(BeNumerically("<", p.maxLost))
			})
		}
	}
}

// play runs the pattern and logs what was measured.
func (p loadPattern) play(t *testing.T, mode string) *simulation {
	var sim *simulation
	synctest.Test(t, func(t *testing.T) {
		sim = newSimulation(p.options)
		var events map[int]func()
		if p.events != nil {
			events = p.events(sim)
		}
		sim.play(t.Context(), p.seconds, events)
	})
	crashes, most := sim.crashes()
	t.Logf("%-10s crashes %d, at most %d of one; lost %.4f; served by second %.2f", mode, crashes, most, sim.lost/sim.total(), sim.shares(callers...))
	for _, route := range callers {
		t.Logf("  %-9s %.2f", route, sim.shares(route))
	}
	return sim
}

func sum(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// total returns the number of requests.
func (sim *simulation) total() float64 {
	total := 0.0
	for _, seconds := range sim.sent {
		for _, n := range seconds {
			total += n
		}
	}
	return total
}
