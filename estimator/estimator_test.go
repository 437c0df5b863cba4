package estimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/estimator"
)

// TestCostsIncludeCalls guards against costs that miss calls made by calls. The
// profiles come from nodes of three services: an order makes two calls, each of
// which makes four.
func TestCostsIncludeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		orders, index, grades := estimator.New("orders"), estimator.New("index"), estimator.New("grades")
		for range 50 {
			orders.RecordSuccess("order", 200*time.Millisecond, map[string]int{"read": 2}, nil)
			orders.RecordSuccess("check", 15*time.Millisecond, nil, nil)
			index.RecordSuccess("read", 60*time.Millisecond, map[string]int{"list": 4}, nil)
			grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		}
		time.Sleep(2 * time.Second)
		entry := estimator.New("sizes")
		entry.StoreProfiles("node-1", orders.Profiles())
		entry.StoreProfiles("node-2", index.Profiles())
		time.Sleep(2 * time.Second)
		entry.StoreProfiles("node-3", grades.Profiles())

		costs := entry.Costs("order")
		g.Expect(costs["orders"]).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
		g.Expect(costs["index"]).To(BeNumerically("~", 120*time.Millisecond, time.Millisecond))
		g.Expect(costs["grades"]).To(BeNumerically("~", 320*time.Millisecond, time.Millisecond))
		g.Expect(entry.Counts("order")["grades"]).To(BeNumerically("~", 8, 0.01))
		g.Expect(entry.Costs("check")).To(HaveLen(1))
		g.Expect(entry.Costs("unknown")).To(BeEmpty())
	})
}

// TestManyCallCycles guards against a computation that does not end. If requests
// of many new routes arrive together, each may be taken for a call of another one,
// so that sixty routes seem to call each other.
func TestManyCallCycles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := estimator.New("a")
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
		entry := estimator.New("b")
		entry.StoreProfiles("node-1", p.Profiles())
		g.Expect(entry.Costs("0")).To(HaveKey("a"))
	})
}

// TestCallCycle guards against unbounded costs of a route that calls itself.
func TestCallCycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := estimator.New("a")
		p.RecordSuccess("x", time.Millisecond, map[string]int{"x": 1}, nil)
		time.Sleep(2 * time.Second)
		other := estimator.New("b")
		other.StoreProfiles("node-1", p.Profiles())
		g.Expect(other.Costs("x")["a"]).To(BeNumerically("<", time.Second))
	})
}

// TestInferredCallsUnderOverload guards against calls attributed to a route that
// makes none. After a start in an overload most requests of the calling route are
// refused. The other route then runs nearly half as often, and some calls are
// inferred to be made by it.
func TestInferredCallsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(3, 4))
		index := estimator.New("index")
		for range 10 {
			for range 15 + rng.IntN(10) {
				index.RecordSuccess("read", 60*time.Millisecond, nil, map[string]int{"list": 3})
			}
			for range 6 + rng.IntN(4) {
				index.RecordSuccess("download", 130*time.Millisecond, nil, map[string]int{"list": 2})
			}
			time.Sleep(time.Second)
		}
		entry := estimator.New("sizes")
		time.Sleep(2 * time.Second)
		entry.StoreProfiles("node-1", index.Profiles())
		time.Sleep(2 * time.Second)
		grades := estimator.New("grades")
		grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		entry.StoreProfiles("node-2", grades.Profiles())
		g.Expect(entry.Counts("read")["grades"]).To(BeNumerically(">", 3))
		g.Expect(entry.Counts("download")).NotTo(HaveKey("grades"), "downloads must not be refused because grades is overloaded")
	})
}

// TestInferredCalls guards against attributing inferred calls to the wrong one of
// two routes: one makes four calls per request, the other none.
func TestInferredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, 2))
		index := estimator.New("index")
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
		entry := estimator.New("sizes")
		entry.StoreProfiles("node-1", index.Profiles())
		time.Sleep(2 * time.Second)
		grades := estimator.New("grades")
		grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		entry.StoreProfiles("node-2", grades.Profiles())
		g.Expect(entry.Counts("read")["grades"]).To(BeNumerically("~", 4, 0.2))
	})
}

// TestCostsFromFailures guards against unknown costs after a start in an overload,
// when no request that makes calls succeeds. Failed requests must give the costs
// until the first one succeeds, and be ignored from then on.
func TestCostsFromFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		index, grades, entry := estimator.New("index"), estimator.New("grades"), estimator.New("sizes")
		exchange := func() float64 {
			time.Sleep(time.Second)
			entry.StoreProfiles("node-1", index.Profiles())
			time.Sleep(time.Second)
			entry.StoreProfiles("node-2", grades.Profiles())
			return entry.Counts("read")["grades"]
		}
		grades.RecordSuccess("list", 40*time.Millisecond, nil, nil)
		for calls := range 4 {
			index.RecordFailure("read", 300*time.Millisecond, nil, map[string]int{"list": calls})
		}
		g.Expect(exchange()).To(BeNumerically("~", 3, 0.01))
		index.RecordSuccess("read", 60*time.Millisecond, map[string]int{"list": 4}, nil)
		index.RecordFailure("read", 300*time.Millisecond, nil, map[string]int{"list": 9})
		g.Expect(exchange()).To(BeNumerically("~", 4, 0.01))
	})
}
