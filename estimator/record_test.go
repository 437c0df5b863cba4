package estimator_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/estimator"
	"quetzalhub/schema"
)

func profile(route, service string, nodes uint32, calls map[string]float32) *schema.Profile {
	p := &schema.Profile{Route: route, Service: service, Nodes: nodes, Busy: durationpb.New(100 * time.Millisecond)}
	for call, count := range calls {
		p.Calls = append(p.Calls, &schema.Fanout{Route: call, Count: count})
	}
	return p
}

// TestRecordedCosts guards against a fleet that knows no costs after all its nodes have
// restarted, and against recorded costs that hide what nodes measure.
func TestRecordedCosts(t *testing.T) {
	recorded := []*schema.Profile{
		profile("order", "cuts", 3, map[string]float32{"index": 1}), profile("order", "sizes", 1, nil),
		profile("index", "patterns", 9, map[string]float32{"listing": 4}), profile("listing", "grades", 6, nil),
	}
	cases := map[string]struct {
		recorded, measured []*schema.Profile
		// after is the time from the read to the measurement.
		after    time.Duration
		counts   map[string]float64
		complete bool
	}{
		"nothing measured": {
			recorded, nil, 0, map[string]float64{"cuts": 0.75, "sizes": 0.25, "patterns": 0.75, "grades": 3}, true,
		},
		"another number of calls measured": {
			recorded,
			[]*schema.Profile{profile("index", "patterns", 0, map[string]float32{"listing": 2})},
			0,
			map[string]float64{"cuts": 0.75, "sizes": 0.25, "patterns": 0.75, "grades": 1.5},
			true,
		},
		"one of two services measured": {
			recorded,
			[]*schema.Profile{profile("order", "cuts", 0, nil)},
			0,
			map[string]float64{"cuts": 0.5, "sizes": 0.5},
			true,
		},
		"one of two services measured, long after": {
			recorded,
			[]*schema.Profile{profile("order", "cuts", 0, nil)},
			time.Minute,
			map[string]float64{"cuts": 1},
			true,
		},
		"another service measured, long after": {
			recorded,
			[]*schema.Profile{profile("index", "library", 0, nil)},
			time.Minute,
			map[string]float64{"cuts": 0.75, "sizes": 0.25, "library": 0.75},
			true,
		},
		"no record, calls not measured yet": {
			nil,
			[]*schema.Profile{profile("order", "cuts", 0, map[string]float32{"index": 1})},
			0,
			map[string]float64{"cuts": 1},
			false,
		},
		"record without the calls": {
			recorded[:2], nil, 0, map[string]float64{"cuts": 0.75, "sizes": 0.25}, false,
		},
		"useless values": {
			[]*schema.Profile{
				profile("order", "", 1, nil), profile("", "cuts", 1, nil), profile("order", "cuts", 1<<31, nil),
				profile("order", "cuts", 1, map[string]float32{"index": -3}), profile("order", "cuts", 1, map[string]float32{"index": 1e9}), nil,
			},
			nil, 0, nil, false,
		},
		"other routes": {[]*schema.Profile{profile("sale", "sales", 1, nil)}, nil, 0, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := estimator.New("benches")
				e.Load(c.recorded)
				time.Sleep(c.after + time.Second)
				e.StoreProfiles("node-1", c.measured)
				g.Expect(e.Counts("order")).To(HaveLen(len(c.counts)))
				for service, count := range c.counts {
					g.Expect(e.Counts("order")[service]).To(BeNumerically("~", count, 0.001), service)
				}
				g.Expect(e.Complete("order")).To(Equal(c.complete))
			})
		})
	}
}

// TestMeasured guards against a record that holds recorded costs instead of measured ones,
// or those of one node only.
func TestMeasured(t *testing.T) {
	g := NewWithT(t)
	e := estimator.New("cuts")
	e.Load([]*schema.Profile{profile("listing", "grades", 6, nil)})
	e.RecordSuccess("order", 300*time.Millisecond, map[string]int{"index": 1}, nil)
	e.StoreProfiles("node-2", []*schema.Profile{profile("order", "cuts", 0, map[string]float32{"index": 2})})
	e.StoreProfiles("node-3", []*schema.Profile{profile("order", "sizes", 0, nil)})
	list := e.Measured()
	g.Expect(list).To(HaveLen(2))
	g.Expect(list[0].GetService()).To(Equal("cuts"))
	g.Expect(list[0].GetNodes()).To(Equal(uint32(2)))
	g.Expect(list[0].GetBusy().AsDuration()).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	g.Expect(list[0].GetCalls()).To(HaveLen(1))
	g.Expect(list[0].GetCalls()[0].GetCount()).To(BeNumerically("~", 1.5, 0.01))
	g.Expect(list[1].GetService()).To(Equal("sizes"))
}
