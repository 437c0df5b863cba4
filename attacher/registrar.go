package attacher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhub/beaconer"
	"quetzalhub/reporter"
)

const (
	// enlistsPerSecond is the rate at which all nodes together register again after the
	// platform has come back from a copy, and maxEnlistDelay the longest delay of a node
	// in a large fleet.
	enlistsPerSecond = 200
	maxEnlistDelay   = 1500 * time.Millisecond
)

// registrar registers this node in the directory and passes the listed nodes to
// the beaconer.
type registrar struct {
	directory Directory
	beaconer  *beaconer.Beaconer
	reporter  *reporter.Reporter
	// departures holds the entry of this node, with the last departure of its upstream.
	departures *departures
	// onRestored is called after the platform has come back from a copy.
	onRestored func()
}

// run keeps this node registered until the context ends. An entry lasts until the
// platform comes back from a copy that is older than it.
func (r *registrar) run(ctx context.Context) {
	again := time.NewTimer(maxStaleness)
	defer again.Stop()
	registered := r.isRegistered(ctx)
	r.departures.recalled.Store(true)
	if registered {
		again.Stop()
	} else {
		r.enlist(ctx, r.introduce)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			// Nodes that registered at the same time are in the list by now.
			r.enlist(ctx, r.list)
		case era := <-r.directory.Restored():
			r.reporter.Notice("platform_restored", "era", era)
			sleep(ctx, r.enlistDelay())
			r.enlist(ctx, r.register)
			r.onRestored()
		}
	}
}

// enlistDelay returns a random delay, since all nodes learn of a restored platform at the
// same time.
func (r *registrar) enlistDelay() time.Duration {
	nodes := time.Duration(r.beaconer.View().LiveCount())
	return rand.N(min(nodes*time.Second/enlistsPerSecond, maxEnlistDelay) + 1)
}

// enlist takes a step of the registration, with retries.
func (r *registrar) enlist(ctx context.Context, step func(context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := step(ctx)
		if err == nil {
			return
		}
		r.reporter.Notice("not_enlisted", "err", err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRegistered reports whether this node is in the directory since an earlier start, with
// the same address. It passes on the listed nodes in any case.
func (r *registrar) isRegistered(ctx context.Context) bool {
	entries, unreadable, err := r.directory.List(ctx, Recent)
	if err != nil {
		// The platform may be away, or have no directory yet.
		r.reporter.Notice("not_listed", "err", err)
		return false
	}
	r.add(entries)
	self := r.departures.entry()
	if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Name == self.Name && e.Address == self.Address }) {
		return false
	}
	r.departures.recall(ctx)
	r.listed(entries, unreadable)
	return true
}

// introduce registers this node and meets the nodes that all others meet too. They pass
// on the beacons of those that register at the same time.
func (r *registrar) introduce(ctx context.Context) error {
	if err := r.directory.Register(ctx, r.departures.entry()); err != nil {
		return err
	}
	entries, complete, err := r.directory.Sample(ctx)
	r.add(entries)
	if complete {
		r.beaconer.Listed()
	}
	return err
}

// list adds all nodes of the directory.
func (r *registrar) list(ctx context.Context) error {
	entries, unreadable, err := r.directory.List(ctx, Recent)
	r.add(entries)
	if err == nil {
		r.listed(entries, unreadable)
	}
	return err
}

// register registers this node and then lists the others. Of two nodes, the one that
// registers later finds the other in its list.
func (r *registrar) register(ctx context.Context) error {
	if err := r.directory.Register(ctx, r.departures.entry()); err != nil {
		return err
	}
	entries, unreadable, err := r.directory.List(ctx, Latest)
	r.add(entries)
	if err == nil {
		r.listed(entries, unreadable)
	}
	return err
}

func (r *registrar) add(entries []Entry) {
	for _, entry := range entries {
		r.beaconer.AddNode(entry.Name, entry.Address)
	}
}

func (r *registrar) listed(entries []Entry, unreadable int) {
	r.beaconer.Listed()
	r.reporter.Notice("enlisted", "nodes", len(entries), "unreadable", unreadable)
}
