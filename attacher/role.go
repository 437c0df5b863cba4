package attacher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/gossiper"
	"quetzalhub/reporter"
)

const (
	// roleCheckInterval is the time between two checks whether this node has become a
	// watcher.
	roleCheckInterval = 50 * time.Millisecond
	// returnTime is the time after a node sees the platform again for which it leaves the
	// watch to the nodes that have it on calm days. It is the longest pause between two
	// tries: after an outage all nodes see the platform again within this time.
	returnTime = maxBackoff * 3 / 2
	// maxBlindAnnounced is the number of blind nodes of a failure domain above which
	// another one does not tell all nodes at once. Whole fleets become blind together.
	maxBlindAnnounced = 8
)

// errRoleGained ends a watch of recent data because the node has become a watcher.
var errRoleGained = errors.New("this node watches the latest data now")

// role decides whether this node watches the latest data of the platform: a few nodes of
// each failure domain that reach the platform do, and those that reach only a part of the
// fleet.
type role struct {
	name     string
	view     func() *gossiper.View
	reporter *reporter.Reporter
	// announce sends the record of this node to all others. It may be nil.
	announce func()
	blind    atomic.Bool
	takeover atomic.Int64

	mu sync.Mutex
	// sightedAt is when the node last saw the platform again; zero if it never lost it.
	sightedAt time.Time
	// cancel ends the present watch of recent data; it is nil if there is none.
	cancel context.CancelCauseFunc
	// check is true if the next watch of the latest data is to end at once.
	check bool
}

func newRole(name string, view func() *gossiper.View, r *reporter.Reporter) *role {
	return &role{name: name, view: view, reporter: r}
}

// watches reports whether this node watches the latest data.
func (r *role) watches() bool {
	view := r.view()
	if view.Reach() < minReach {
		return true
	}
	if r.isReturning() {
		return view.IsPreferredWatcher(r.name)
	}
	_, watcher := view.WatcherIndex(r.name)
	return watcher
}

func (r *role) isReturning() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.blind.Load() && !r.sightedAt.IsZero() && time.Since(r.sightedAt) < returnTime
}

func (r *role) isBlind() bool { return r.blind.Load() }

// takeovers returns the number of times that this node has become a watcher during a watch.
func (r *role) takeovers() int64 { return r.takeover.Load() }

// setBlind records whether the last call to the platform failed. A watcher tells the other
// nodes at once that it is blind, since they rely on it.
func (r *role) setBlind(blind bool) {
	if r.blind.Load() == blind {
		return
	}
	watched := r.watches()
	r.mu.Lock()
	if !blind {
		r.sightedAt = time.Now()
	}
	r.mu.Unlock()
	r.blind.Store(blind)
	view := r.view()
	if blind && watched && r.announce != nil && view.BlindCount(view.Members[r.name].GetDomain()) < maxBlindAnnounced {
		r.announce()
	}
}

// setCancel sets what ends the present watch of recent data.
func (r *role) setCancel(cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
}

// takeCheck reports whether the next watch of the latest data is to end at once, which shows
// whether this node reaches the platform.
func (r *role) takeCheck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	check := r.check
	r.check = false
	return check
}

// start runs the checks of the role until the returned function is called.
func (r *role) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// run ends the present watch of recent data when this node becomes a watcher, until the
// context ends.
func (r *role) run(ctx context.Context) {
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.update()
		}
	}
}

func (r *role) update() {
	if !r.watches() {
		return
	}
	view := r.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel == nil {
		return
	}
	r.cancel(errRoleGained)
	r.cancel = nil
	r.check = view.BlindCount(view.Members[r.name].GetDomain()) > 0
	r.takeover.Add(1)
	r.reporter.Notice("watch_taken_over", "blind", view.BlindCount(view.Members[r.name].GetDomain()))
}
