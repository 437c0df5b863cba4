package attacher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalhub/evacuator"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/supervisor"
)

const (
	// roleInterval is the time between two checks whether this node watches the
	// evacuations.
	roleInterval = 500 * time.Millisecond
	// evacuationStartsPerSecond is the number of watches of evacuations that all nodes
	// together start per second. A platform that lost its history tells changes only to
	// those that start after them.
	evacuationStartsPerSecond = 2
	// promptAnswer is the time within which a watch ends that finds earlier changes.
	promptAnswer = 300 * time.Millisecond
)

// Evacuations provides the failure domains that an operator has evacuated.
type Evacuations interface {
	// ListEvacuations returns the evacuated domains as of a position. complete is false if
	// some records can't be read.
	ListEvacuations(ctx context.Context, f Freshness) (domains []string, at evacuator.Position, complete bool, err error)
	// WatchEvacuations waits for changes after a position, and returns them in their order
	// with the position to continue from. It returns storer.ErrMissing if the changes
	// since that position are no longer available.
	WatchEvacuations(ctx context.Context, from evacuator.Position, wait time.Duration) (changes []evacuator.Change, at evacuator.Position, err error)
}

// evacuation is what this node does when evacuations change.
type evacuation struct {
	*evacuator.Evacuator
	reporter *reporter.Reporter
	// endpoints returns the local upstream if it is ready, and recheck is called when the
	// failure domain of this node is taken back, since its upstream may be cold.
	endpoints func() []*schema.Endpoint
	recheck   func()
}

func newEvacuation(e *evacuator.Evacuator, s *supervisor.Supervisor, r *reporter.Reporter) *evacuation {
	return &evacuation{Evacuator: e, reporter: r, endpoints: s.Endpoints, recheck: s.Recheck}
}

func newEvacuator(s *schema.Settings) *evacuator.Evacuator {
	return evacuator.New(s.GetNode().GetDomain(), s.GetBounds().GetEvacuation().AsDuration())
}

// store records what another node knows.
func (e *evacuation) store(from *schema.Member, b *schema.Beacon) {
	e.note(e.Store(b.GetEvacuations(), b.GetInformed()), from.GetName())
}

// note reports changes and who has told them.
func (e *evacuation) note(changes []evacuator.Change, by string) {
	for _, c := range changes {
		event := "domain_evacuated"
		if c.Ended {
			event = "domain_returned"
		}
		e.reporter.Notice(event, "domain", c.Domain, "own", c.Domain == e.Domain(), "by", by)
		if c.Ended && c.Domain == e.Domain() {
			e.recheck()
		}
	}
}

// evacuationWatcher learns of evacuations from the platform. All nodes read them when they
// start; then the watchers of each failure domain watch them and tell the others.
type evacuationWatcher struct {
	source     Evacuations
	evacuation *evacuation
	view       func() *gossiper.View
	name       string
	// watches reports whether this node watches the latest data.
	watches func() bool
	// announce sends what this node knows to all others.
	announce func()

	// at is the position as of which the evacuations are known, and contact the time of the
	// answer that gave it; known is true if changes since can be watched.
	at      evacuator.Position
	contact time.Time
	known   bool
	lost    bool

	mu sync.Mutex
	// cancel ends the present watch; it is nil if there is none.
	cancel context.CancelFunc
}

// run reads the evacuations and watches them while this node is a watcher, until the
// context ends.
func (w *evacuationWatcher) run(ctx context.Context) {
	if !w.evacuation.Enabled() {
		return
	}
	w.list(ctx, Recent)
	w.evacuation.announceUpstream(w.announce)
	// A change that was made just before is known to the platform's copies by then, and this
	// node to the others.
	sleep(ctx, maxStaleness)
	if !w.isWatcher() {
		w.list(ctx, Recent)
	}
	freshness := Recent
	for ctx.Err() == nil {
		switch {
		case !w.isWatcher():
			w.known, freshness = false, Recent
			sleep(ctx, roleInterval)
		case !w.known:
			w.list(ctx, freshness)
		default:
			freshness = Latest
			w.watch(ctx)
		}
	}
}

// announceUpstream tells the other nodes of the upstream if it may be used now.
func (e *evacuation) announceUpstream(announce func()) {
	if e.Told() && e.Accepts() && len(e.endpoints()) > 0 {
		announce()
	}
}

// isWatcher reports whether this node watches the platform: a few nodes of each failure
// domain do, and those that reach only a part of the fleet.
func (w *evacuationWatcher) isWatcher() bool { return w.watches() }

// list reads the evacuations, with retries.
func (w *evacuationWatcher) list(ctx context.Context, f Freshness) {
	backoff := minBackoff
	for ctx.Err() == nil {
		domains, at, complete, err := w.source.ListEvacuations(ctx, f)
		if err == nil {
			w.changed(w.evacuation.List(at, domains, complete, w.contactAge()))
			w.succeed(at)
			return
		}
		w.fail(ctx, err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch waits for changes.
func (w *evacuationWatcher) watch(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.setCancel(cancel)
	defer w.setCancel(nil)
	began := time.Now()
	changes, at, err := w.source.WatchEvacuations(watchCtx, w.at, w.nextWait())
	switch {
	case err == nil:
		age, prompt := time.Duration(0), time.Since(began) < promptAnswer
		if prompt {
			age = w.contactAge()
		}
		if prompt && at == w.at {
			// The platform does not wait.
			defer sleep(ctx, minBackoff)
		}
		w.changed(w.evacuation.Apply(at, changes, age))
		w.succeed(at)
	case errors.Is(err, storer.ErrMissing) || watchCtx.Err() != nil:
		w.known = false
	default:
		w.known = false
		w.fail(ctx, err)
		sleep(ctx, minBackoff/2+rand.N(minBackoff))
	}
}

// nextWait returns the wait for the next watch.
func (w *evacuationWatcher) nextWait() time.Duration {
	return slotWait(w.view(), w.name, evacuationStartsPerSecond)
}

// reset reads the evacuations again, if this node watches them: the platform has lost its
// history or was away, and a watch may wait in vain.
func (w *evacuationWatcher) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}

func (w *evacuationWatcher) setCancel(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
}

// contactAge returns the time since the platform last answered. What it tells first may be
// older than the bound.
func (w *evacuationWatcher) contactAge() time.Duration {
	if w.contact.IsZero() {
		return w.evacuation.Bound()
	}
	return time.Since(w.contact)
}

func (w *evacuationWatcher) changed(changes []evacuator.Change) {
	w.evacuation.note(changes, "platform")
	if len(changes) > 0 {
		w.announce()
	}
}

func (w *evacuationWatcher) succeed(at evacuator.Position) {
	w.at, w.contact, w.known, w.lost = at, time.Now(), true, false
}

func (w *evacuationWatcher) fail(ctx context.Context, err error) {
	if ctx.Err() == nil && !w.lost {
		w.lost = true
		w.evacuation.reporter.Notice("evacuations_not_read", "err", err)
	}
}
