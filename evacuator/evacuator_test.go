package evacuator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/evacuator"
	"quetzalhub/schema"
)

const bound = 5 * time.Second

// step is one thing that a node learns of the domain hall.
type step func(e *evacuator.Evacuator) []evacuator.Change

func begun(era, revision uint64) step { return changed(era, revision, false) }
func ended(era, revision uint64) step { return changed(era, revision, true) }

func changed(era, revision uint64, ended bool) step {
	return func(e *evacuator.Evacuator) []evacuator.Change {
		return e.Apply(evacuator.Position{Era: era, Revision: revision}, []evacuator.Change{{Domain: "hall", Ended: ended}}, 0)
	}
}

func listed(era, revision uint64, complete bool, domains ...string) step {
	return func(e *evacuator.Evacuator) []evacuator.Change {
		return e.List(evacuator.Position{Era: era, Revision: revision}, domains, complete, bound)
	}
}

func told(era, revision uint64, ended bool) step {
	return func(e *evacuator.Evacuator) []evacuator.Change {
		return e.Store([]*schema.Evacuation{{Domain: "hall", Era: era, Revision: revision, Ended: ended, Age: durationpb.New(bound)}}, false)
	}
}

// TestLatestRecordCounts guards against an evacuation that is lost or comes back because a
// node hears of an earlier one late, or because the platform comes back from an older copy.
func TestLatestRecordCounts(t *testing.T) {
	cases := map[string]struct {
		steps     []step
		evacuated bool
	}{
		"nothing known":                         {nil, false},
		"begun":                                 {[]step{begun(1, 10)}, true},
		"ended":                                 {[]step{begun(1, 10), ended(1, 12)}, false},
		"end heard before the begin":            {[]step{ended(1, 12), begun(1, 10)}, false},
		"begun again":                           {[]step{begun(1, 10), ended(1, 12), begun(1, 20)}, true},
		"older record of another node":          {[]step{begun(1, 20), told(1, 12, true)}, true},
		"newer record of another node":          {[]step{begun(1, 10), told(1, 12, true)}, false},
		"stale list without it":                 {[]step{begun(1, 10), listed(1, 9, true)}, true},
		"stale list with it":                    {[]step{begun(1, 10), ended(1, 12), listed(1, 11, true, "hall")}, false},
		"list without it":                       {[]step{begun(1, 10), listed(1, 11, true)}, false},
		"list that can't be read in part":       {[]step{begun(1, 10), listed(1, 11, false, "gate")}, true},
		"list of domains that no node is in":    {[]step{listed(1, 11, true, "", "gate", "\x00")}, false},
		"begun before a list without it":        {[]step{listed(1, 11, true), told(1, 10, false)}, false},
		"begun after a list without it":         {[]step{listed(1, 11, true), told(1, 12, false)}, true},
		"copy that lacks it":                    {[]step{begun(1, 100), listed(2, 50, true)}, false},
		"copy that lacks it, older record late": {[]step{begun(1, 100), listed(2, 50, true), told(1, 101, false)}, false},
		"copy that still has it":                {[]step{begun(1, 100), ended(1, 110), listed(2, 105, true, "hall")}, true},
		"era before that of the copy":           {[]step{listed(2, 105, true, "hall"), told(1, 110, true)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := evacuator.New("hall", bound)
				for _, s := range c.steps {
					s(e)
				}
				time.Sleep(bound)
				g.Expect(e.Evacuated("hall")).To(Equal(c.evacuated))
				g.Expect(e.Accepts()).To(Equal(!c.evacuated))
				g.Expect(e.Weight("hall")).To(Equal(map[bool]float64{true: 0, false: 1}[c.evacuated]))
				g.Expect(e.Weight("yard")).To(Equal(1.0))

				// A node that has just started knows the same after one beacon.
				other := evacuator.New("hall", bound)
				g.Expect(other.Informed()).To(BeFalse())
				other.Store(e.Records(true), true)
				g.Expect(other.Informed()).To(BeTrue())
				g.Expect(other.Evacuated("hall")).To(Equal(c.evacuated))
			})
		})
	}
}

// TestWeight guards against load that moves at once, and against a domain that still takes
// calls near the bound, whoever learned of the evacuation when.
func TestWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first := evacuator.New("hall", bound)
		g.Expect(begun(1, 10)(first)).To(Equal([]evacuator.Change{{Domain: "hall"}}))
		g.Expect(begun(1, 11)(first)).To(BeEmpty(), "no change")
		last := first.Weight("hall")
		g.Expect(last).To(Equal(1.0))
		for last > 0 {
			time.Sleep(100 * time.Millisecond)
			weight := first.Weight("hall")
			g.Expect(last - weight).To(BeNumerically("<", 0.1))
			g.Expect(first.Evacuated("hall")).To(BeFalse(), "callers' nodes stop first")
			last = weight
		}
		// A node that learns late binds at the same time.
		late := evacuator.New("hall", bound)
		late.Store(first.Records(true), true)
		time.Sleep(time.Second)
		for _, e := range []*evacuator.Evacuator{first, late} {
			g.Expect(e.Evacuated("hall")).To(BeTrue())
		}
		ended(1, 20)(first)
		g.Expect(first.Evacuated("hall")).To(BeFalse())
		last = first.Weight("hall")
		g.Expect(last).To(And(BeNumerically(">", 0), BeNumerically("<", 0.1)))
		for last < 1 {
			time.Sleep(100 * time.Millisecond)
			weight := first.Weight("hall")
			g.Expect(weight - last).To(BeNumerically("<", 0.1))
			last = weight
		}
	})
}

// TestTakenBackWhileItFalls guards against a share that jumps when an operator changes their
// mind.
func TestTakenBackWhileItFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := evacuator.New("hall", bound)
		begun(1, 10)(e)
		time.Sleep(time.Second)
		before := e.Weight("hall")
		ended(1, 11)(e)
		g.Expect(e.Weight("hall")).To(BeNumerically("~", before, 0.01))
		time.Sleep(500 * time.Millisecond)
		before = e.Weight("hall")
		begun(1, 12)(e)
		g.Expect(e.Weight("hall")).To(BeNumerically("~", before, 0.01))
	})
}

// TestStart guards against a node that sends its upstream requests before it knows of an
// evacuation, and against one that never does since nobody can tell it.
func TestStart(t *testing.T) {
	cases := map[string]struct {
		bound         time.Duration
		learn         step
		atOnce, later bool
	}{
		"nobody tells":               {bound, func(*evacuator.Evacuator) []evacuator.Change { return nil }, false, true},
		"platform: none":             {bound, listed(1, 10, true), true, true},
		"platform: evacuated":        {bound, listed(1, 10, true, "hall"), false, false},
		"another node: evacuated":    {bound, told(1, 10, false), false, false},
		"another one that was asked": {bound, func(e *evacuator.Evacuator) []evacuator.Change { return e.Store(nil, true) }, true, true},
		"another one that is as new": {bound, func(e *evacuator.Evacuator) []evacuator.Change { return e.Store(nil, false) }, false, true},
		"never evacuated":            {0, listed(1, 10, true, "hall"), true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := evacuator.New("hall", c.bound)
				c.learn(e)
				g.Expect(e.Accepts()).To(Equal(c.atOnce))
				time.Sleep(bound)
				g.Expect(e.Accepts()).To(Equal(c.later))
			})
		})
	}
}

// TestRecords guards against beacons that grow with what an operator has written, and
// against an evacuation that is left out for one that has ended.
func TestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := evacuator.New("hall", bound)
		begun(1, 1)(e)
		for i := range uint64(200) {
			e.Apply(evacuator.Position{Era: 1, Revision: 2 + i}, []evacuator.Change{{Domain: fmt.Sprint("d", i), Ended: true}}, 0)
		}
		g.Expect(len(e.Records(true))).To(BeNumerically("<=", 64))
		g.Expect(e.Records(true)[0].GetDomain()).To(Equal("hall"))
		time.Sleep(bound)
		g.Expect(e.Records(false)).To(BeEmpty())
		g.Expect(e.States()[len(e.States())-1]).To(Equal(evacuator.State{Domain: "hall", Evacuated: true, Binding: true, Weight: 0, Age: 5}))
	})
}
