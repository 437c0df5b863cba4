package attacher

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"quetzalhub/evacuator"
	"quetzalhub/gossiper"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
)

// fakeEvacuations is a platform on which the failure domain a is evacuated or not.
type fakeEvacuations struct {
	mu             sync.Mutex
	position       evacuator.Position
	changedAt      uint64
	evacuated      bool
	down           bool
	recent, latest int
	// deaf watches, which began before a time, see no changes.
	deafBefore time.Time
	oldest     uint64
}

func (s *fakeEvacuations) ListEvacuations(_ context.Context, f Freshness) ([]string, evacuator.Position, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == Recent {
		s.recent++
	} else {
		s.latest++
	}
	if s.down {
		return nil, evacuator.Position{}, false, errors.New("down")
	}
	if s.evacuated {
		return []string{"a"}, s.position, true, nil
	}
	return nil, s.position, true, nil
}

func (s *fakeEvacuations) WatchEvacuations(ctx context.Context, from evacuator.Position, wait time.Duration) ([]evacuator.Change, evacuator.Position, error) {
	began := time.Now()
	for {
		s.mu.Lock()
		down, position, changed := s.down, s.position, s.changedAt > from.Revision && !began.Before(s.deafBefore)
		lost, change := from.Revision < s.oldest && !began.Before(s.deafBefore), evacuator.Change{Domain: "a", Ended: !s.evacuated}
		if time.Since(began) == 0 {
			s.latest++
		}
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return nil, position, ctx.Err()
		case down:
			return nil, position, errors.New("down")
		case lost:
			return nil, position, storer.ErrMissing
		case changed:
			return []evacuator.Change{change}, position, nil
		case time.Since(began) > wait:
			return nil, from, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *fakeEvacuations) set(change func(s *fakeEvacuations)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeEvacuations) evacuate(evacuated bool) {
	s.set(func(s *fakeEvacuations) {
		s.position.Revision++
		s.evacuated, s.changedAt = evacuated, s.position.Revision
	})
}

// startEvacuationWatcher starts a node of the failure domain a with the given name in a fleet
// of some nodes, of which node-1 is a watcher.
func startEvacuationWatcher(s Evacuations, name string, nodes int) (e *evacuator.Evacuator, w *evacuationWatcher, stop func()) {
	e = evacuator.New("a", 5*time.Second)
	state := &evacuation{Evacuator: e, reporter: reporter.New(io.Discard, name, log.InfoLevel), endpoints: func() []*schema.Endpoint { return nil }, recheck: func() {}}
	view := func() *gossiper.View { return viewOf(nodes) }
	w = &evacuationWatcher{source: s, evacuation: state, view: view, name: name, watches: newRole(name, view, nil).watches, announce: func() {}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.run(ctx) })
	return e, w, func() {
		cancel()
		group.Wait()
	}
}

// TestEvacuationWatcher guards against evacuations that a node does not learn of, or only
// after the bound, and against calls that each node makes all the time.
func TestEvacuationWatcher(t *testing.T) {
	const watcher, other = "node-1", "node-20"
	cases := map[string]struct {
		name   string
		change func(s *fakeEvacuations, w *evacuationWatcher)
		// within is the time in which the change must be known, and bind that in which it
		// binds; zero if it need not be known.
		within, bind time.Duration
		// recent and latest are the largest numbers of calls in a minute.
		recent, latest int
	}{
		"watcher": {
			watcher, func(s *fakeEvacuations, _ *evacuationWatcher) { s.evacuate(true) },
			50 * time.Millisecond, 3100 * time.Millisecond, 1, 30,
		},
		"no watcher": {
			other, func(s *fakeEvacuations, _ *evacuationWatcher) { s.evacuate(true) },
			0, 0, 2, 0,
		},
		"away for two seconds": {
			watcher,
			func(s *fakeEvacuations, _ *evacuationWatcher) {
				s.set(func(s *fakeEvacuations) { s.down = true })
				time.Sleep(time.Second)
				s.evacuate(true)
				time.Sleep(time.Second)
				s.set(func(s *fakeEvacuations) { s.down = false })
			},
			1600 * time.Millisecond, 2 * time.Second, 1, 40,
		},
		"history lost, as the watch of the configuration has found": {
			watcher,
			func(s *fakeEvacuations, w *evacuationWatcher) {
				s.set(func(s *fakeEvacuations) {
					s.deafBefore = time.Now()
					s.position.Revision++
					s.oldest = s.position.Revision
				})
				s.evacuate(true)
				w.reset()
			},
			50 * time.Millisecond, 5 * time.Second, 1, 30,
		},
		"history lost, as nobody has found": {
			watcher,
			func(s *fakeEvacuations, _ *evacuationWatcher) {
				s.set(func(s *fakeEvacuations) { s.deafBefore = time.Now() })
				s.evacuate(true)
			},
			25 * time.Second, 30 * time.Second, 1, 30,
		},
		"back from an older copy": {
			watcher,
			func(s *fakeEvacuations, w *evacuationWatcher) {
				s.evacuate(true)
				time.Sleep(time.Second)
				s.set(func(s *fakeEvacuations) {
					s.position.Era++
					s.position.Revision -= 5
					s.evacuated, s.changedAt = false, 0
				})
				w.reset()
				time.Sleep(time.Second)
				s.evacuate(true)
			},
			50 * time.Millisecond, 3100 * time.Millisecond, 1, 30,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeEvacuations{position: evacuator.Position{Era: 1, Revision: 40}}
				e, w, stop := startEvacuationWatcher(s, c.name, 48)
				defer stop()
				time.Sleep(10 * time.Second)
				g.Expect(e.Told()).To(BeTrue())
				g.Expect(e.Accepts()).To(BeTrue())
				c.change(s, w)
				time.Sleep(c.within)
				if c.within > 0 {
					g.Expect(e.States()).To(ContainElement(HaveField("Evacuated", true)))
					time.Sleep(c.bind - c.within)
				}
				g.Expect(e.Evacuated("a")).To(Equal(c.within > 0))
				time.Sleep(time.Minute)
				s.set(func(s *fakeEvacuations) {
					g.Expect(s.recent).To(BeNumerically("<=", c.recent))
					g.Expect(s.latest).To(BeNumerically("<=", c.latest))
				})
			})
		})
	}
}

// TestStartWithoutPlatform guards against a node that is told of an evacuation by no platform
// and uses its upstream at once, or never.
func TestStartWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeEvacuations{position: evacuator.Position{Era: 1, Revision: 40}, down: true}
		e, _, stop := startEvacuationWatcher(s, "node-1", 48)
		defer stop()
		upstreams := &evacuator.Upstreams{Upstreams: readyUpstreams{}, Evacuator: e}
		code := func() refuser.Code {
			_, code := upstreams.UpstreamFor("orders")
			return code
		}
		g.Expect(code()).To(Equal(refuser.EndpointMissing))
		time.Sleep(2600 * time.Millisecond)
		g.Expect(code()).To(Equal(refuser.None))
		s.set(func(s *fakeEvacuations) { s.down, s.evacuated = false, true })
		time.Sleep(1600 * time.Millisecond)
		g.Expect(code()).To(Equal(refuser.DomainEvacuated), "it has been evacuated for longer than the bound")
	})
}
