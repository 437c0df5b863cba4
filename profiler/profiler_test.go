package profiler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/profiler"
)

// TestCostsFollowCalls learns a chain of three services from the nodes beside
// them: an order makes two calls, each of which makes four.
func TestCostsFollowCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		orders, index, grades := profiler.New("orders"), profiler.New("index"), profiler.New("grades")
		for range 50 {
			orders.RecordSuccess("order", 200*time.Millisecond, map[string]int{"read": 2}, nil)
			orders.RecordSuccess("check", 15*time.Millisecond, nil, nil)
			index.RecordSuccess("read", 60*time.Millisecond, map[string]int{"list": 4}, nil)
			grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		}
		time.Sleep(2 * time.Second)
		entrance := profiler.New("sizes")
		entrance.StoreProfiles("node-1", orders.Profiles())
		entrance.StoreProfiles("node-2", index.Profiles())
		time.Sleep(2 * time.Second)
		entrance.StoreProfiles("node-3", grades.Profiles())

		costs := entrance.Costs("order")
		g.Expect(costs["orders"]).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
		g.Expect(costs["index"]).To(BeNumerically("~", 120*time.Millisecond, time.Millisecond))
		g.Expect(costs["grades"]).To(BeNumerically("~", 320*time.Millisecond, time.Millisecond))
		g.Expect(entrance.Counts("order")["grades"]).To(BeNumerically("~", 8, 0.01))
		g.Expect(entrance.Costs("check")).To(HaveLen(1))
		g.Expect(entrance.Costs("unknown")).To(BeEmpty())
	})
}

// TestManyCircles plays the pattern "requests for many new routes, each taken
// for a call of another one": sixty routes seem to call each other.
func TestManyCircles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := profiler.New("a")
		for i := range 60 {
			calls := map[string]int{}
			for j := range 60 {
				if i != j {
					calls[fmt.Sprint(j)] = 1
				}
			}
			p.RecordSuccess(fmt.Sprint(i), time.Millisecond, calls, nil)
		}
		time.Sleep(2 * time.Second)
		entrance := profiler.New("b")
		entrance.StoreProfiles("node-1", p.Profiles())
		g.Expect(entrance.Costs("0")).To(HaveKey("a"))
	})
}

// TestCallsInCircles bounds the cost of a route that reaches itself.
func TestCallsInCircles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := profiler.New("a")
		p.RecordSuccess("x", time.Millisecond, map[string]int{"x": 1}, nil)
		time.Sleep(2 * time.Second)
		other := profiler.New("b")
		other.StoreProfiles("node-1", p.Profiles())
		g.Expect(other.Costs("x")["a"]).To(BeNumerically("<", time.Second))
	})
}

// TestGuessedCallsUnderOverload plays the pattern "a start while most requests
// that make calls are refused": the route that makes none runs nearly half as
// often, and some calls are guessed to be made by it.
func TestGuessedCallsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(3, 4))
		index := profiler.New("index")
		for range 10 {
			for range 15 + rng.IntN(10) {
				index.RecordSuccess("read", 60*time.Millisecond, nil, map[string]int{"list": 3})
			}
			for range 6 + rng.IntN(4) {
				index.RecordSuccess("download", 130*time.Millisecond, nil, map[string]int{"list": 2})
			}
			time.Sleep(time.Second)
		}
		entrance := profiler.New("sizes")
		time.Sleep(2 * time.Second)
		entrance.StoreProfiles("node-1", index.Profiles())
		time.Sleep(2 * time.Second)
		grades := profiler.New("grades")
		grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		entrance.StoreProfiles("node-2", grades.Profiles())
		g.Expect(entrance.Counts("read")["grades"]).To(BeNumerically(">", 3))
		g.Expect(entrance.Counts("download")).NotTo(HaveKey("grades"), "downloads must not be refused for the sake of grades")
	})
}

// TestGuessedCalls learns which of two routes makes calls whose requests are
// not known: one that makes four, beside one that makes none.
func TestGuessedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, 2))
		index := profiler.New("index")
		for range 10 {
			for range 100 + rng.IntN(40) {
				index.RecordSuccess("read", 60*time.Millisecond, nil, map[string]int{"list": 3 + rng.IntN(3)})
			}
			for range 5 + rng.IntN(6) {
				index.RecordSuccess("download", 130*time.Millisecond, nil, nil)
			}
			time.Sleep(time.Second)
		}
		g.Expect(index.Fanout("read", "list")).To(BeNumerically("~", 4, 0.2))
		g.Expect(index.Fanout("download", "list")).To(BeNumerically("<", 0.5))
		entrance := profiler.New("sizes")
		entrance.StoreProfiles("node-1", index.Profiles())
		time.Sleep(2 * time.Second)
		grades := profiler.New("grades")
		grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		entrance.StoreProfiles("node-2", grades.Profiles())
		g.Expect(entrance.Counts("read")["grades"]).To(BeNumerically("~", 4, 0.2))
	})
}

// TestFailuresTellCosts plays the pattern "a start in an overload": no request
// that makes calls succeeds, and their costs must be known all the same, until
// the first one does.
func TestFailuresTellCosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		index, grades, entrance := profiler.New("index"), profiler.New("grades"), profiler.New("sizes")
		hear := func() float64 {
			time.Sleep(time.Second)
			entrance.StoreProfiles("node-1", index.Profiles())
			time.Sleep(time.Second)
			entrance.StoreProfiles("node-2", grades.Profiles())
			return entrance.Counts("read")["grades"]
		}
		grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		for calls := range 4 {
			index.RecordFailure("read", 300*time.Millisecond, nil, map[string]int{"list": calls})
		}
		g.Expect(hear()).To(BeNumerically("~", 3, 0.01))
		index.RecordSuccess("read", 60*time.Millisecond, map[string]int{"list": 4}, nil)
		index.RecordFailure("read", 300*time.Millisecond, nil, map[string]int{"list": 9})
		g.Expect(hear()).To(BeNumerically("~", 4, 0.01))
	})
}
