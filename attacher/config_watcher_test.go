package attacher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/beaconer"
	"quetzalhub/caller"
	"quetzalhub/confirmer"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
)

// fakeSource is a store with one configuration. As on the platform, a watch that
// is open when the history is lost gets no more changes.
type fakeSource struct {
	mu       sync.Mutex
	version  uint64
	readable bool
	// noTimeouts keeps unchanged watches open past their wait.
	noTimeouts bool
	down       bool
	// oldestVersion is the version before which changes are no longer available.
	oldestVersion uint64
	// restored is set while the store has come back from a copy: a watch that starts
	// then is accepted, but finds only at its end that it missed changes.
	restored bool
	reads    int
	// behindUntil is the time until which recent data are older than all changes.
	behindUntil time.Time
}

func (s *fakeSource) object() (storer.Object, error) {
	raw, err := proto.Marshal(&schema.State{Version: s.version, Config: &schema.Config{Version: s.version}})
	if !s.readable {
		raw = []byte("\xff\xff")
	}
	return storer.Object{Data: raw, Version: storer.Version(strconv.FormatUint(s.version, 10))}, err
}

func (s *fakeSource) Read(context.Context, Freshness) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.restored = false
	if s.down {
		return storer.Object{}, errors.New("down")
	}
	return s.object()
}

func (s *fakeSource) Watch(ctx context.Context, known storer.Version, wait time.Duration, f Freshness) (storer.Object, error) {
	version, err := strconv.ParseUint(string(known), 10, 64)
	if err != nil {
		return storer.Object{}, err
	}
	until := time.Now().Add(wait)
	for first := true; ; first = false {
		s.mu.Lock()
		behind := f == Recent && time.Now().Before(s.behindUntil)
		s.mu.Unlock()
		if behind && time.Now().After(until) {
			return storer.Object{Version: known}, storer.ErrUnchanged
		}
		if behind {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if object, err, ended := s.watchResult(version, until, first); ended {
			return object, err
		}
		time.Sleep(10 * time.Millisecond)
		if ctx.Err() != nil {
			return storer.Object{}, ctx.Err()
		}
	}
}

// watchResult returns the result of a watch and whether the watch has ended.
func (s *fakeSource) watchResult(version uint64, until time.Time, first bool) (object storer.Object, err error, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := storer.Version(strconv.FormatUint(version, 10))
	switch {
	case s.down:
		return object, errors.New("down"), true
	case s.restored && time.Now().After(until):
		return object, storer.ErrMissing, true
	case s.restored:
		return object, nil, false
	case version < s.oldestVersion && first:
		return object, storer.ErrMissing, true
	case s.version > version && version >= s.oldestVersion:
		object, err = s.object()
		return object, err, true
	case time.Now().After(until) && !s.noTimeouts && version >= s.oldestVersion:
		return storer.Object{Version: known}, storer.ErrUnchanged, true
	case time.Now().After(until.Add(350 * time.Millisecond)):
		return object, context.DeadlineExceeded, true
	}
	return object, nil, false
}

// set changes the store.
func (s *fakeSource) set(change func(s *fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// noopBeacons is a beacon transport that sends nothing and a beacon source
// without content.
type noopBeacons struct{}

func (noopBeacons) Send(string, []byte)             {}
func (noopBeacons) Endpoints() []*schema.Endpoint   { return nil }
func (noopBeacons) Suspicions() []*schema.Suspicion { return nil }
func (noopBeacons) Remarks() []*schema.Remark       { return nil }
func (noopBeacons) Inflows() []*schema.Inflow       { return nil }
func (noopBeacons) Usages() []*schema.Usage         { return nil }
func (noopBeacons) Profiles() []*schema.Profile     { return nil }
func (noopBeacons) Version() uint64                 { return 0 }
func (noopBeacons) Blind() bool                     { return false }

func (noopBeacons) Evacuations(bool) ([]*schema.Evacuation, bool) { return nil, false }

// viewOf returns a view of nodes in six failure domains. The first one is the only node of
// its domain.
func viewOf(nodes int) *gossiper.View {
	members := map[string]*schema.Member{}
	for i := range nodes {
		domain := "a"
		if i > 0 {
			domain = fmt.Sprint("b", i%5)
		}
		name := fmt.Sprint("node-", i+1)
		members[name] = &schema.Member{Name: name, Domain: domain, Status: schema.Status_STATUS_ALIVE}
	}
	return gossiper.NewView(members)
}

// TestWatchFreshness guards against a node that relies on others for changes of the
// configuration while it does not reach them, and against a large fleet in which all nodes
// watch the latest data: each change would cost the platform a call of each node.
func TestWatchFreshness(t *testing.T) {
	g := NewWithT(t)
	full := viewOf(196)
	latest := 0
	for i := range 196 {
		w := &configWatcher{role: newRole(fmt.Sprint("node-", i+1), func() *gossiper.View { return full }, nil)}
		if w.watchFreshness() == Latest {
			latest++
		}
	}
	g.Expect(latest).To(Equal(11), "two nodes of each of five domains, and the only one of the sixth")
	alone := maps.Clone(full.Members)
	for name, m := range alone {
		if name != "node-77" {
			failed := proto.CloneOf(m)
			failed.Status = schema.Status_STATUS_FAILED
			alone[name] = failed
		}
	}
	w := &configWatcher{role: newRole("node-77", func() *gossiper.View { return gossiper.NewView(alone) }, nil)}
	g.Expect(w.watchFreshness()).To(Equal(Latest))
}

// TestConfigWatcher guards against a node that stays on an old configuration, or
// reads the platform too often, after an outage or a loss of the platform's history.
// It makes a change at the fake platform and checks the version that a single node
// has applied some time later.
func TestConfigWatcher(t *testing.T) {
	cases := map[string]struct {
		change func(s *fakeSource)
		// laterChange, if any, is made after delay.
		delay       time.Duration
		laterChange func(s *fakeSource)
		wait        time.Duration
		want        uint64
		// nodes is the size of the fleet; a watch lasts longer in a large one.
		nodes int
	}{
		"new version":  {func(s *fakeSource) { s.version = 4 }, 0, nil, 50 * time.Millisecond, 4, 0},
		"history lost": {func(s *fakeSource) { s.version, s.oldestVersion = 4, 4 }, 0, nil, 1700 * time.Millisecond, 4, 0},
		"restored from a copy after an outage": {
			func(s *fakeSource) { s.down = true }, 2 * time.Second,
			func(s *fakeSource) { s.version, s.down, s.restored = 4, false, true }, 1700 * time.Millisecond, 4, 60,
		},
		"history lost while watches hang": {
			func(s *fakeSource) { s.noTimeouts = true }, 100 * time.Millisecond,
			func(s *fakeSource) { s.version, s.oldestVersion = 4, 4 }, 1700 * time.Millisecond, 4, 0,
		},
		"new version during a one-minute outage": {
			func(s *fakeSource) { s.down = true }, time.Minute,
			func(s *fakeSource) { s.version, s.down = 4, false }, 1600 * time.Millisecond, 4, 0,
		},
		"platform still down":      {func(s *fakeSource) { s.down, s.version = true, 4 }, 0, nil, 10 * time.Second, 3, 0},
		"unreadable configuration": {func(s *fakeSource) { s.version, s.readable = 4, false }, 0, nil, 5 * time.Second, 3, 0},
		"older version":            {func(s *fakeSource) { s.version, s.oldestVersion = 2, 4 }, 0, nil, 5 * time.Second, 3, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nodes := max(c.nodes, 1)
				s := &fakeSource{version: 3, readable: true}
				state := confirmer.New("a", configMaxAge)
				cl := caller.New("node-1", state, nil, nil)
				b := beaconer.New(&schema.Member{Name: "node-1"}, noopBeacons{}, noopBeacons{}, time.Second)
				cl.Attach(&beaconFleet{b})
				w := newConfigWatcher(s, state, reporter.New(io.Discard, "node-1", log.InfoLevel), cl, "node-1", func() *gossiper.View { return viewOf(nodes) })
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				group.Go(func() { w.run(ctx) })
				defer group.Wait()
				defer cancel()
				time.Sleep(300 * time.Millisecond)
				g.Expect(state.Version()).To(Equal(uint64(3)))
				s.set(c.change)
				if c.laterChange != nil {
					time.Sleep(c.delay)
					s.set(c.laterChange)
				}
				time.Sleep(c.wait)
				g.Expect(state.Version()).To(Equal(c.want))
				g.Expect(state.Fresh()).To(BeTrue())
				s.set(func(s *fakeSource) {
					g.Expect(s.reads).To(BeNumerically("<", 60), "the platform counts calls, so the watcher must read rarely")
				})
			})
		})
	}
}

// TestHistoryLostInLargeFleet guards against a fleet that does not learn of a change for
// most of the interval between two watches: the platform drops its history with the change
// in it and leaves open watches without an answer, so that only a watch that starts later
// shows the loss. All nodes have started their watches together, at their own start or with
// an earlier change. One node that learns of the change tells the others.
func TestHistoryLostInLargeFleet(t *testing.T) {
	const nodes, bound = 76, 5 * time.Second
	cases := map[string]struct {
		// change is made some time before the loss.
		change func(s *fakeSource)
		age    time.Duration
	}{
		"soon after the start":   {func(*fakeSource) {}, 500 * time.Millisecond},
		"soon after a change":    {func(s *fakeSource) { s.version = 4 }, 500 * time.Millisecond},
		"later":                  {func(s *fakeSource) { s.version = 4 }, 8 * time.Second},
		"after a whole interval": {func(s *fakeSource) { s.version = 4 }, 40 * time.Second},
		"after an outage":        {func(s *fakeSource) { s.down = true }, 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeSource{version: 3, readable: true}
				var states []*confirmer.Confirmer
				began := time.Now()
				// A node that starts does not know the others at first.
				full := viewOf(nodes)
				known := func() *gossiper.View {
					if time.Since(began) < 100*time.Millisecond {
						return viewOf(1)
					}
					return full
				}
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				for i := range nodes {
					name := fmt.Sprint("node-", i+1)
					state := confirmer.New("a", configMaxAge)
					states = append(states, state)
					cl := caller.New(name, state, nil, nil)
					cl.Attach(&beaconFleet{beaconer.New(&schema.Member{Name: name}, noopBeacons{}, noopBeacons{}, time.Second)})
					w := newConfigWatcher(s, state, reporter.New(io.Discard, "node-1", log.InfoLevel), cl, name, known)
					group.Go(func() { w.run(ctx) })
				}
				newest := func() uint64 {
					version := uint64(0)
					for _, state := range states {
						version = max(version, state.Version())
					}
					return version
				}
				time.Sleep(time.Second)
				s.set(c.change)
				time.Sleep(c.age)
				s.set(func(s *fakeSource) { s.down = false })
				time.Sleep(2 * time.Second)
				s.set(func(s *fakeSource) {
					s.version, s.oldestVersion, s.behindUntil = 9, 9, time.Now().Add(2*bound)
				})
				time.Sleep(bound)
				g.Expect(newest()).To(Equal(uint64(9)))
			})
		})
	}
}
