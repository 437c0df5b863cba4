package attacher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"quetzalhub/beaconer"
	"quetzalhub/caller"
	"quetzalhub/confirmer"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
)

const (
	// renewals is the number of watches that all nodes together begin in a
	// second. A change ends a watch at once, but a platform that forgot its
	// history leaves watches waiting for what it will never tell; the first
	// node that begins a new one learns of it and tells the others.
	renewals = 4
	// leastWait and mostWait bound the wait of one watch.
	leastWait = time.Second
	mostWait  = 25 * time.Second
	// leastPause and mostPause bound the pause after a failed call.
	leastPause = 200 * time.Millisecond
	mostPause  = time.Second
	// fetchPatience is the time given to the platform to deliver a change that
	// another node has already.
	fetchPatience = 80 * time.Millisecond
)

// follower keeps the configuration of a node up to date.
type follower struct {
	source    Source
	confirmer *confirmer.Confirmer
	reporter  *reporter.Reporter
	caller    *caller.Caller
	// nodes returns the number of live nodes.
	nodes func() int
	lost  bool
	// behind is the time since which another node is known to be ahead, in
	// nanoseconds since the start; zero if none is.
	behind atomic.Int64
	origin time.Time
}

func newFollower(s Source, c *confirmer.Confirmer, r *reporter.Reporter, p *caller.Caller, nodes func() int) *follower {
	f := &follower{source: s, confirmer: c, reporter: r, caller: p, nodes: nodes, origin: time.Now()}
	c.OnChange(f.changed)
	return f
}

// changed notes each configuration, from wherever it came.
func (f *follower) changed(c confirmer.Change) {
	before := uint64(0)
	if c.Old != nil {
		before = c.Old.Version()
	}
	f.behind.Store(0)
	f.reporter.Notice("configuration_in_force", "version", c.New.Version(), "before", before)
}

// run reads the configuration and then every change, until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := leastPause
	var known storer.Version
	for ctx.Err() == nil {
		var object storer.Object
		var err error
		if known == storer.Absent {
			object, err = f.source.Read(ctx)
		} else {
			object, err = f.source.Watch(ctx, known, f.wait())
		}
		switch {
		case err == nil:
			if f.apply(object.Data) && known == storer.Absent {
				f.caller.NotifyPeers()
			}
			if known != storer.Absent {
				pause = leastPause
			}
			known = object.Version
			f.regained()
			continue
		case errors.Is(err, storer.ErrUnchanged):
			known, pause = object.Version, leastPause
			f.regained()
			continue
		case errors.Is(err, storer.ErrMissing) && known != storer.Absent:
			f.reporter.Notice("history_lost", "version", string(known))
			known = storer.Absent
			// The next read may be as old as the last one.
			sleep(ctx, pause/4+rand.N(pause/4))
			pause = min(2*pause, mostPause)
			continue
		case errors.Is(err, context.DeadlineExceeded) && known != storer.Absent:
			// A watch that does not end when its wait does may have missed
			// changes before.
			f.reporter.Notice("watch_silent", "version", string(known))
			known = storer.Absent
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, mostPause)
	}
}

// wait returns the wait of the next watch, drawn so that the nodes take turns.
func (f *follower) wait() time.Duration {
	mean := time.Duration(f.nodes()) * time.Second / renewals
	return min(max(mean*3/4+rand.N(mean/2+1), leastWait), mostWait)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// apply tells whether a configuration was newer than the present one.
func (f *follower) apply(raw []byte) bool {
	applied, err := f.confirmer.Apply(raw)
	if err != nil {
		f.reporter.Notice("configuration_unreadable", "err", err, "kept", f.confirmer.Version())
		return false
	}
	f.confirmer.Confirm(f.confirmer.Version(), time.Now())
	return applied
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.lost {
		f.lost = true
		f.reporter.Notice("platform_lost", "err", err, "version", f.confirmer.Version())
	}
}

func (f *follower) regained() {
	if f.lost {
		f.lost = false
		f.reporter.Notice("platform_regained", "version", f.confirmer.Version())
	}
}

// BeaconReceived fetches the configuration from a node that has a newer one, unless the
// platform delivers it first.
func (f *follower) BeaconReceived(from *schema.Member, b *schema.Beacon) {
	version := f.confirmer.Version()
	if b.GetVersion() <= version {
		return
	}
	now := int64(time.Since(f.origin))
	f.behind.CompareAndSwap(0, now)
	if version == 0 || now-f.behind.Load() > int64(fetchPatience) {
		f.caller.Fetch(from.GetAddress())
	}
}

// NodeSilent does nothing.
func (f *follower) NodeSilent(*schema.Member) {}

// enroller puts a node into the directory and finds the others there.
type enroller struct {
	directory Directory
	beaconer  *beaconer.Beaconer
	reporter  *reporter.Reporter
	self      Entry
}

// run enlists this node and meets those listed. A node that enlists later
// finds this one in the list, so one list is enough.
func (e *enroller) run(ctx context.Context) {
	pause := leastPause
	for ctx.Err() == nil {
		err := e.enroll(ctx)
		if err == nil {
			return
		}
		e.reporter.Notice("not_enlisted", "err", err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, mostPause)
	}
}

func (e *enroller) enroll(ctx context.Context) error {
	if err := e.directory.Register(ctx, e.self); err != nil {
		return err
	}
	entries, err := e.directory.List(ctx)
	for _, entry := range entries {
		e.beaconer.AddNode(entry.Name, entry.Address)
	}
	if err == nil {
		e.reporter.Notice("enlisted", "nodes", len(entries))
	}
	return err
}
