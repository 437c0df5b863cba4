package attacher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"quetzalhub/confirmer"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
)

const (
	// watchStartsPerSecond is the number of watches of the latest data that all nodes
	// together start per second. A change ends a watch at once, but a platform that
	// lost its history never ends the watches that wait on it. The next node that
	// starts a watch detects the loss, reads the configuration again and
	// notifies the other nodes.
	watchStartsPerSecond = 4
	// maxWatchInterval bounds the interval from which the wait of a watch is drawn.
	maxWatchInterval = 25 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// checkWait is the wait of the first watch after a failed call. Whether the
	// platform still has the history shows only when a watch ends, and a platform that
	// comes back from a copy accepts watches from revisions that it gives out again.
	checkWait = time.Millisecond
	// minReach is the share of the known nodes that a node must reach to rely on those
	// that watch the latest data.
	minReach = 0.5
	// peerFetchDelay is the time the platform has to deliver a change that
	// another node already has, before the node fetches it from that node.
	peerFetchDelay = 80 * time.Millisecond
)

// peers tells other nodes of a new configuration and fetches it from them.
type peers interface {
	NotifyPeers()
	Fetch(address string)
}

// configWatcher keeps the node's configuration up to date.
type configWatcher struct {
	source       Source
	confirmer    *confirmer.Confirmer
	reporter     *reporter.Reporter
	peers        peers
	view         func() *gossiper.View
	platformLost bool
	// behindSince is when another node was first seen with a newer
	// configuration, in nanoseconds after started; zero if none has one.
	behindSince atomic.Int64
	started     time.Time
	// onReset is called when the platform has lost its history or was away. It may be nil.
	onReset func()
	role    *role
}

func newConfigWatcher(s Source, c *confirmer.Confirmer, r *reporter.Reporter, p peers, name string, view func() *gossiper.View) *configWatcher {
	w := &configWatcher{source: s, confirmer: c, reporter: r, peers: p, view: view, started: time.Now()}
	w.role = newRole(name, view, r)
	c.OnChange(w.onConfigChange)
	return w
}

// onConfigChange logs each new configuration, from the platform or another node.
func (w *configWatcher) onConfigChange(c confirmer.Change) {
	before := uint64(0)
	if c.Old != nil {
		before = c.Old.Version()
	}
	w.behindSince.Store(0)
	w.reporter.Notice("configuration_in_force", "version", c.New.Version(), "before", before)
}

// run reads the configuration and then watches it until the context ends.
func (w *configWatcher) run(ctx context.Context) {
	backoff := minBackoff
	var known storer.Version
	failed := false
	// A watch that follows the first read delivers what that may lack.
	freshness := Recent
	defer w.role.start(ctx)()
	for ctx.Err() == nil {
		var object storer.Object
		var err error
		switch {
		case known == storer.Absent:
			object, err = w.source.Read(ctx, freshness)
		case failed:
			object, err = w.source.Watch(ctx, known, checkWait, Latest)
		default:
			object, err = w.watch(ctx, known)
		}
		if errors.Is(err, errRoleGained) {
			continue
		}
		failed = err != nil && !errors.Is(err, storer.ErrUnchanged)
		if ctx.Err() == nil {
			w.role.setBlind(failed && !errors.Is(err, storer.ErrMissing))
		}
		switch {
		case err == nil:
			if w.apply(object.Data) && known == storer.Absent {
				w.peers.NotifyPeers()
			}
			if known != storer.Absent {
				backoff = minBackoff
			}
			known, freshness = object.Version, Latest
			w.reportPlatformRegained(known)
			continue
		case errors.Is(err, storer.ErrUnchanged):
			known, backoff = object.Version, minBackoff
			w.reportPlatformRegained(known)
			continue
		case errors.Is(err, storer.ErrMissing) && known != storer.Absent:
			w.reporter.Notice("history_lost", "version", string(known))
			known = storer.Absent
			w.reset()
			if w.platformLost {
				// The platform has answered, so the backoff of the outage is over.
				backoff = minBackoff
			}
			// The next read may return the same old version.
			sleep(ctx, backoff/4+rand.N(backoff/4))
			backoff = min(2*backoff, maxBackoff)
			continue
		case errors.Is(err, context.DeadlineExceeded) && known != storer.Absent:
			// A watch that did not end when its wait did may have missed earlier
			// changes.
			w.reporter.Notice("watch_silent", "version", string(known))
			known = storer.Absent
			w.reset()
			continue
		}
		w.reportPlatformLost(ctx, err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch waits for a change. A watch of recent data ends with errRoleGained when this node
// becomes a watcher.
func (w *configWatcher) watch(ctx context.Context, known storer.Version) (storer.Object, error) {
	freshness := w.watchFreshness()
	if freshness == Latest {
		wait := w.nextWatchWait(freshness)
		if w.role.takeCheck() {
			wait = checkWait
		}
		return w.source.Watch(ctx, known, wait, freshness)
	}
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.role.setCancel(cancel)
	defer w.role.setCancel(nil)
	object, err := w.source.Watch(watchCtx, known, w.nextWatchWait(freshness), freshness)
	if err != nil && errors.Is(context.Cause(watchCtx), errRoleGained) {
		return storer.Object{}, errRoleGained
	}
	return object, err
}

// watchFreshness returns the freshness of this node's next watch. A few nodes of each failure
// domain watch the latest data, and the others learn of a change from them at the latest. A
// node that reaches only a part of the fleet may not.
func (w *configWatcher) watchFreshness() Freshness {
	if w.role.watches() {
		return Latest
	}
	return Recent
}

// nextWatchWait returns the wait for the next watch. Those of recent data are drawn from the
// whole interval: a start of the fleet, a change or an outage ends the watches of all nodes
// together, and they would go on to end together.
func (w *configWatcher) nextWatchWait(f Freshness) time.Duration {
	if f == Recent {
		return checkWait + rand.N(maxWatchInterval)
	}
	return slotWait(w.view(), w.role.name, watchStartsPerSecond)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// apply applies a configuration and reports whether it was newer than the current
// one.
func (w *configWatcher) apply(raw []byte) bool {
	applied, err := w.confirmer.Apply(raw)
	if err != nil {
		w.reporter.Notice("configuration_unreadable", "err", err, "kept", w.confirmer.Version())
		return false
	}
	w.confirmer.Confirm(w.confirmer.Version(), time.Now())
	return applied
}

func (w *configWatcher) reportPlatformLost(ctx context.Context, err error) {
	if ctx.Err() == nil && !w.platformLost {
		w.platformLost = true
		w.reporter.Notice("platform_lost", "err", err, "version", w.confirmer.Version())
	}
}

func (w *configWatcher) reportPlatformRegained(known storer.Version) {
	if w.platformLost {
		w.platformLost = false
		w.reporter.Notice("platform_regained", "version", w.confirmer.Version(), "store", string(known))
		w.reset()
	}
}

func (w *configWatcher) reset() {
	if w.onReset != nil {
		w.onReset()
	}
}

// BeaconReceived fetches the configuration from a node that has a newer one if the
// platform has not delivered it within peerFetchDelay.
func (w *configWatcher) BeaconReceived(from *schema.Member, b *schema.Beacon) {
	version := w.confirmer.Version()
	if b.GetVersion() <= version {
		return
	}
	now := int64(time.Since(w.started))
	w.behindSince.CompareAndSwap(0, now)
	if version == 0 || now-w.behindSince.Load() > int64(peerFetchDelay) {
		w.peers.Fetch(from.GetAddress())
	}
}

// NodeSilent does nothing; failed nodes don't affect the configuration.
func (w *configWatcher) NodeSilent(*schema.Member) {}

// BeaconReduced does nothing.
func (w *configWatcher) BeaconReduced(error) {}
