package watcher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/confirmer"
	"quetzalhub/editor"
	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/standin/platform"
	"quetzalhub/storer"
	"quetzalhub/util/set"
	"quetzalhub/watcher"
)

// poll is the longest duration of a watch.
const poll = 200 * time.Millisecond

// soloFleet is the view of a node that is a watcher of its domain.
type soloFleet struct{ view *gossiper.View }

func (f soloFleet) View() *gossiper.View { return f.view }
func (soloFleet) Join([]string)          {}
func (soloFleet) Push()                  {}

// idleAssigner has nothing to assign.
type idleAssigner struct{}

func (idleAssigner) Step(context.Context, *schema.State, int, set.Set[string]) error { return nil }

// testLogger fails on nothing and drops what is logged.
type testLogger struct{}

func (testLogger) Warn(any, ...any) {}
func (testLogger) Info(any, ...any) {}

// testFleet is a fleet of watchers, one in each domain, that do not exchange states.
type testFleet struct {
	t          *testing.T
	platform   *platform.Platform
	address    string
	confirmers []*confirmer.Confirmer
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, platform: platform.New()}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

func (f *testFleet) store() storer.Store { return storer.NewHTTP(f.address, time.Second) }

// start starts a watcher that holds a state, unless it is nil.
func (f *testFleet) start(state *schema.State) *confirmer.Confirmer {
	name := fmt.Sprint("node-", len(f.confirmers))
	c := confirmer.New(name, 5*time.Second)
	f.confirmers = append(f.confirmers, c)
	if state != nil {
		data, err := proto.Marshal(state)
		NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
		_, err = c.Apply(data)
		NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	}
	members := map[string]*schema.Member{}
	for _, n := range []string{name, "other"} {
		members[n] = &schema.Member{Name: n, Address: n, Domain: n, Status: schema.Status_STATUS_ALIVE}
	}
	store := f.store()
	w := watcher.New(watcher.Options{
		Store: store, Confirmer: c, Fleet: soloFleet{gossiper.NewView(members)}, Assigner: idleAssigner{},
		Restorer: editor.New(store, "node "+name), Logger: testLogger{}, Name: name, Address: name, Domain: name, Poll: poll,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

// addRoute makes an accepted change.
func (f *testFleet) addRoute(prefix string) uint64 {
	version, err := editor.New(f.store(), "operator").Edit(context.Background(), func(s *schema.State) error {
		if s.Config == nil {
			s.Config = &schema.Config{}
		}
		s.Config.Version++
		s.Config.Routes = append(s.Config.Routes, &schema.Route{Prefix: prefix, Service: "orders"})
		return nil
	})
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	return version
}

// routes returns the prefixes of the routes in force at a node.
func routes(c *confirmer.Confirmer) func() []string {
	return func() []string {
		var prefixes []string
		if s := c.Snapshot(); s != nil {
			for _, r := range s.State.GetConfig().GetRoutes() {
				prefixes = append(prefixes, r.GetPrefix())
			}
		}
		return prefixes
	}
}

// TestPlatformRestored guards against the loss of accepted changes, and against later ones
// that are accepted but never in force: the platform comes back from a copy and holds a
// state older than that of the fleet. The calls to the platform must stay few meanwhile.
func TestPlatformRestored(t *testing.T) {
	cases := map[string]struct {
		// before and lost are the numbers of changes before and after the copy.
		before, lost int
		// empty is true if the copy was made before the first state.
		empty bool
		// behind is true if another watcher has none of the lost changes.
		behind bool
	}{
		"one change lost":                      {before: 3, lost: 1},
		"several changes lost":                 {before: 3, lost: 4},
		"no change lost":                       {before: 3},
		"everything lost":                      {before: 3, lost: 2, empty: true},
		"another watcher has the copied state": {before: 3, lost: 4, behind: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTestFleet(t)
			copied := f.platform.Copy()
			node := f.start(nil)
			var want []string
			change := func(prefix string) {
				f.addRoute(prefix)
				want = append(want, prefix)
				g.Eventually(routes(node)).WithTimeout(time.Second).Should(Equal(want))
			}
			for i := range c.before {
				change(fmt.Sprint("/before-", i))
			}
			older := proto.CloneOf(node.Snapshot().State)
			if !c.empty {
				copied = f.platform.Copy()
			}
			for i := range c.lost {
				change(fmt.Sprint("/lost-", i))
			}
			calls := f.platform.Counts()
			f.platform.Restore(copied)
			nodes := []*confirmer.Confirmer{node}
			if c.behind {
				nodes = append(nodes, f.start(older))
			}
			for _, n := range nodes {
				g.Eventually(routes(n)).WithTimeout(2 * time.Second).Should(Equal(want))
			}
			time.Sleep(2 * poll)
			g.Expect(f.platform.Counts().Writes-calls.Writes).To(BeNumerically("<", 10), "writes")
			g.Expect(f.platform.Counts().Watches-calls.Watches).To(BeNumerically("<", 40), "watches")

			f.addRoute("/after")
			want = append(want, "/after")
			for _, n := range nodes {
				g.Eventually(routes(n)).WithTimeout(time.Second).Should(Equal(want))
			}
		})
	}
}

// TestStaleReadIsNoRestore guards against writing an older state over a newer one because
// the platform served a stale read, and against a storm of calls meanwhile.
func TestStaleReadIsNoRestore(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t)
	node := f.start(nil)
	for i := range 3 {
		f.addRoute(fmt.Sprint("/route-", i))
	}
	g.Eventually(routes(node)).WithTimeout(time.Second).Should(HaveLen(3))
	before, calls := node.Version(), f.platform.Counts()
	f.platform.SetSwitches(platform.Switches{Stale: true})
	time.Sleep(5 * poll)
	f.platform.SetSwitches(platform.Switches{})
	after := f.platform.Counts()
	g.Expect(after.Watches-calls.Watches).To(BeNumerically("<", 20), "watches")
	g.Expect(node.Version()).To(Equal(before))
	f.addRoute("/last")
	g.Eventually(routes(node)).WithTimeout(time.Second).Should(HaveLen(4))
	g.Expect(node.Version()).To(Equal(before + 1))
}
