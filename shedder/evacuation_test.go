package shedder_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/evacuator"
)

// evacuatedGraph is the booking office with an upstream of each service in each of four
// failure domains. A surge of 1.4 times the usual load takes 0.93 of the deepest service.
func evacuatedGraph(unaware bool) serviceGraph {
	graph := bookingGraph()
	graph.domains, graph.unaware = 4, unaware
	graph.evacuator = evacuator.New("d0", evacuationBound)
	graph.services = map[string][]upstream{
		"patterns": {{56, 0.9}, {56, 0.9}, {56, 0.9}, {56, 0.9}},
		"benches":  {{56, 1}, {56, 1}, {56, 1}, {56, 1}},
		"archives": {{56, 1}, {56, 1}, {56, 1}, {56, 1}},
		"contests": {{16, 0.9}, {16, 0.9}, {16, 0.9}, {16, 0.9}},
	}
	graph.nodes = 16
	return graph
}

const (
	evacuationBound = 5 * time.Second
	// surgeAt, evacuatedAt, returnedAt and endAt are times in a simulation.
	surgeAt, evacuatedAt, returnedAt, endAt = 4 * time.Second, 8 * time.Second, 24 * time.Second, 32 * time.Second
)

// TestQuarterOfFleetEmptiedInSurge guards against work wasted while a quarter of the fleet is
// emptied in a surge, since entries admit requests for a fleet that is larger, and calls reach
// nodes that refuse them; and against an emptied domain whose upstreams still run calls.
func TestQuarterOfFleetEmptiedInSurge(t *testing.T) {
	results := map[bool]map[string]*tally{}
	for _, unaware := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			graph := evacuatedGraph(unaware)
			sim := newSimulation(graph, 1, false)
			change := func(revision uint64, ended bool) func() {
				return func() {
					graph.evacuator.Apply(evacuator.Position{Era: 1, Revision: revision}, []evacuator.Change{{Domain: "d0", Ended: ended}}, 0)
				}
			}
			var atBound, atReturn map[string]int
			record := func(to *map[string]int) func() {
				return func() {
					sim.mu.Lock()
					defer sim.mu.Unlock()
					*to = maps.Clone(sim.runs)
				}
			}
			results[unaware] = sim.run(endAt, map[time.Duration]func(){
				surgeAt:                       func() { sim.setLoadFactor(1.4); sim.resetTallies() },
				evacuatedAt:                   change(10, false),
				evacuatedAt + evacuationBound: record(&atBound),
				returnedAt:                    sequence(record(&atReturn), change(20, true)),
			})
			g.Expect(atReturn["d0"]).To(Equal(atBound["d0"]), "no call runs in the evacuated domain")
			g.Expect(atReturn["d1"]).To(BeNumerically(">", atBound["d1"]))
			g.Expect(sim.runs["d0"]).To(BeNumerically(">", atReturn["d0"]+1000), "calls return")
		})
	}
	for unaware, r := range results {
		t.Logf("unaware %v: credit %.3f", unaware, credit(r))
		for _, k := range []string{"look-up", "booking", "download", "entry"} {
			t.Logf("   %-10s %+v", k, *r[k])
		}
	}
	g := NewWithT(t)
	b := results[false]["booking"]
	g.Expect(float64(b.onTime) / float64(b.sent)).To(BeNumerically(">", 0.95))
	g.Expect(credit(results[false])).To(BeNumerically(">", 0.8))
	g.Expect(results[false]["look-up"].failed).To(BeNumerically("<", 50), "requests that fail after some work")
	g.Expect(credit(results[false])).To(BeNumerically(">", credit(results[true])))
}
