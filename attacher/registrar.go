package attacher

import (
	"context"
	"math/rand/v2"
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
	self      Entry
	// onRestored is called after the platform has come back from a copy.
	onRestored func()
}

// run keeps this node registered until the context ends. An entry lasts until the
// platform comes back from a copy that is older than it.
func (r *registrar) run(ctx context.Context) {
	r.enlist(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case era := <-r.directory.Restored():
			r.reporter.Notice("platform_restored", "era", era)
			sleep(ctx, r.enlistDelay())
			r.enlist(ctx)
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

// enlist registers this node and then lists the others, with retries. Of two nodes, the
// one that registers later finds the other in its list.
func (r *registrar) enlist(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := r.register(ctx)
		if err == nil {
			return
		}
		r.reporter.Notice("not_enlisted", "err", err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (r *registrar) register(ctx context.Context) error {
	if err := r.directory.Register(ctx, r.self); err != nil {
		return err
	}
	entries, unreadable, err := r.directory.List(ctx)
	for _, entry := range entries {
		r.beaconer.AddNode(entry.Name, entry.Address)
	}
	if err == nil {
		r.beaconer.Listed()
		r.reporter.Notice("enlisted", "nodes", len(entries), "unreadable", unreadable)
	}
	return err
}
