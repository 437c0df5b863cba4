package attacher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/confirmer"
	"quetzalhub/estimator"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/schema"
)

// fakeCosts is a store with one record of costs.
type fakeCosts struct {
	mu            sync.Mutex
	record        []byte
	down          bool
	loads, writes int
}

func (f *fakeCosts) SaveCosts(_ context.Context, record []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.down {
		return errors.New("down")
	}
	f.record = record
	return nil
}

func (f *fakeCosts) LoadCosts(context.Context) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if f.down {
		return nil, errors.New("down")
	}
	return f.record, nil
}

func (f *fakeCosts) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// costsFixture runs cost keepers of a fleet.
type costsFixture struct {
	store   *fakeCosts
	members map[string]*schema.Member
	fleet   []*estimator.Estimator
	// intake is that of the upstreams; zero if they are warm.
	intake float64
}

// start starts keepers with a configuration of two routes.
func (f *costsFixture) start(ctx context.Context, nodes int, intake float64) {
	for i := range nodes {
		name := fmt.Sprint("node-", i)
		f.members[name] = &schema.Member{Name: name, Status: schema.Status_STATUS_ALIVE, Endpoints: []*schema.Endpoint{{Service: "cuts", Intake: f.intake}}}
	}
	view := func() *gossiper.View { return gossiper.NewView(f.members) }
	for name := range f.members {
		e, c := estimator.New("cuts"), confirmer.New("", configMaxAge)
		k := newCostKeeper(f.store, e, c, view, name, reporter.New(io.Discard, name, log.InfoLevel))
		f.fleet = append(f.fleet, e)
		raw, _ := proto.Marshal(&schema.State{Version: 1, Config: &schema.Config{
			Version: 1, Services: []*schema.Service{{Name: "cuts", Intake: intake}}, Routes: []*schema.Route{{Name: "order"}, {Name: "index"}},
		}})
		go k.run(ctx)
		synctest.Wait()
		_, _ = c.Apply(raw)
	}
}

// measure gives all nodes the profile of a route as one of them measured it.
func (f *costsFixture) measure(route string, calls float32) {
	for _, e := range f.fleet {
		e.StoreProfiles(route, []*schema.Profile{{
			Route: route, Service: "cuts", Busy: durationpb.New(time.Second), Calls: []*schema.Fanout{{Route: "index", Count: calls}},
		}})
	}
}

// recordedRoutes returns the numbers of calls in the record, by route.
func (f *costsFixture) recordedRoutes() map[string]float32 {
	costs := &schema.Costs{}
	_ = proto.Unmarshal(f.store.record, costs)
	routes := map[string]float32{}
	for _, p := range costs.GetProfiles() {
		routes[p.GetRoute()] = p.GetCalls()[0].GetCount()
	}
	return routes
}

// TestCostKeeper guards against many or no writes of the costs, against writes of costs that
// are not typical, and against nodes that need the record.
func TestCostKeeper(t *testing.T) {
	cases := map[string]struct {
		intake float64
		// steps are run one after the other, and then a time passes.
		steps  []func(f *costsFixture)
		loads  int
		writes int
		want   map[string]float32
	}{
		"no service has an intake": {
			0, []func(*costsFixture){func(f *costsFixture) { f.measure("order", 1) }}, 0, 0, map[string]float32{},
		},
		"nothing measured": {12, []func(*costsFixture){func(*costsFixture) {}}, 3, 0, map[string]float32{}},
		"unchanged for long": {
			12, []func(*costsFixture){func(f *costsFixture) { f.measure("order", 1) }}, 3, 1, map[string]float32{"order": 1},
		},
		"slight changes": {
			12, []func(*costsFixture){
				func(f *costsFixture) { f.measure("order", 1) },
				func(f *costsFixture) { f.measure("order", 1.2) },
				func(f *costsFixture) { f.measure("order", 0.9) },
			}, 3, 1, map[string]float32{"order": 1},
		},
		"clear changes": {
			12, []func(*costsFixture){
				func(f *costsFixture) { f.measure("order", 1) },
				func(f *costsFixture) { f.measure("order", 2) },
				func(f *costsFixture) { f.measure("index", 3) },
			}, 3, 3, map[string]float32{"order": 2, "index": 3},
		},
		"a route that is not configured": {
			12, []func(*costsFixture){func(f *costsFixture) { f.measure("sale", 1) }}, 3, 0, map[string]float32{},
		},
		"cold upstreams": {
			12, []func(*costsFixture){func(f *costsFixture) { f.measure("order", 1) }}, 3, 0, map[string]float32{},
		},
		"an earlier run has recorded another route": {
			12, []func(*costsFixture){func(f *costsFixture) { f.measure("index", 3) }}, 3, 1, map[string]float32{"order": 4, "index": 3},
		},
		"unreadable record": {
			12, []func(*costsFixture){func(f *costsFixture) { f.measure("order", 1) }}, 3, 1, map[string]float32{"order": 1},
		},
		"store down at the start": {
			12, []func(*costsFixture){
				func(*costsFixture) {},
				func(f *costsFixture) { f.store.setDown(false); f.measure("order", 1) },
			}, 3 * maxCostReads, 1, map[string]float32{"order": 1},
		},
		"store down later": {
			12, []func(*costsFixture){
				func(f *costsFixture) { f.store.setDown(true); f.measure("order", 1) },
				func(f *costsFixture) { f.store.setDown(false) },
			}, 3, 5, map[string]float32{"order": 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &costsFixture{store: &fakeCosts{}, members: map[string]*schema.Member{}}
				switch name {
				case "an earlier run has recorded another route":
					f.store.record, _ = proto.Marshal(&schema.Costs{Profiles: []*schema.Profile{{
						Route: "order", Service: "cuts", Calls: []*schema.Fanout{{Route: "index", Count: 4}},
					}}})
				case "cold upstreams":
					f.intake = 12
				case "unreadable record":
					f.store.record = []byte("\xff\xff")
				case "store down at the start":
					f.store.down = true
				}
				f.start(t.Context(), 3, c.intake)
				synctest.Wait()
				for _, step := range c.steps {
					step(f)
					time.Sleep(2 * time.Minute)
					synctest.Wait()
				}
				g.Expect(f.store.loads).To(Equal(c.loads))
				g.Expect(f.store.writes).To(Equal(c.writes))
				g.Expect(f.recordedRoutes()).To(Equal(c.want), "record")
			})
		})
	}
}

// TestCostsAfterRestart guards against nodes that restart together and know no costs.
func TestCostsAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &fakeCosts{}
		before := &costsFixture{store: store, members: map[string]*schema.Member{}}
		ctx, stop := context.WithCancel(t.Context())
		before.start(ctx, 3, 12)
		before.measure("order", 4)
		before.measure("index", 2)
		time.Sleep(time.Minute)
		stop()
		synctest.Wait()
		after := &costsFixture{store: store, members: map[string]*schema.Member{}}
		after.start(t.Context(), 3, 12)
		synctest.Wait()
		for _, e := range after.fleet {
			g.Expect(e.Counts("order")).To(HaveKeyWithValue("cuts", BeNumerically(">", 4)))
		}
	})
}
