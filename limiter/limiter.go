// Package limiter holds each workspace to its rate and burst over the whole
// fleet.
//
// The rate and burst of a workspace belong to one node, the holder of its
// shard. Other nodes borrow parts of them, by demand, and admit requests from
// a token bucket of the borrowed size without asking anyone. The sum of what
// is lent and what the holder keeps never exceeds the whole, so admissions of
// all nodes together stay within rate x window + burst in every window; see
// docs/design/0003-shares.md for the argument under failures.
//
// A loan may be used while the node's state is fresh and names the term of the
// shard under which the loan was made. A node that learns of a new term may
// use the loan as long as a node that has not learned of it.
//
// # Usage
//
//	l := limiter.New(identity, confirmer, caller)
//	go l.Run(ctx)
//	if err := l.Admit(ctx, "gloves"); err != nil { ... }
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/confirmer"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

// Shards is the number of parts into which the workspaces are divided. It is
// the same in all releases.
const Shards = 16

// Confirmer tells which state a node holds and how long it is fresh.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	Fresh() bool
	OnChange(confirmer.ChangeListener)
	OnFreshnessRestored(confirmer.RestoreListener)
}

// Caller borrows from the holder of a shard.
type Caller interface {
	// Borrow sends a request to the holder. It returns only after the answer
	// has come or will never be used.
	Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error)
}

// Identity names this start of this node.
type Identity interface {
	Identity() (name string, incarnation uint64)
}

// Limiter admits requests of workspaces.
type Limiter struct {
	options   Options
	identity  Identity
	confirmer Confirmer
	borrowers [Shards]*borrower

	mu       sync.RWMutex
	accounts map[string]*account
}

// New returns a limiter that borrows through the caller.
func New(identity Identity, c Confirmer, caller Caller, opts ...Option) *Limiter {
	l := &Limiter{
		options:   newOptions(opts...),
		identity:  identity,
		confirmer: c,
		accounts:  map[string]*account{},
	}
	for i := range l.borrowers {
		l.borrowers[i] = newBorrower(l, uint32(i), caller)
	}
	c.OnChange(l.change)
	c.OnFreshnessRestored(l.lapse)
	return l
}

// ShardOf returns the shard of a workspace.
func ShardOf(workspace string) uint32 {
	return uint32(xxhash.Sum64String(workspace) % Shards)
}

// Run borrows and returns loans until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, b := range l.borrowers {
		group.Go(func() { b.loop(ctx) })
	}
	group.Go(func() { repeater.Run(ctx, tick, l.nudgeUsed) })
	group.Wait()
}

// nudgeUsed wakes the borrowers of shards in which this node has accounts.
func (l *Limiter) nudgeUsed() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for workspace := range l.accounts {
		l.borrowers[ShardOf(workspace)].nudge()
	}
}

// Admit takes a token of the workspace, waiting a little for one if it may
// come. It returns a *refuser.Error with code RateExceeded or StateStale.
func (l *Limiter) Admit(ctx context.Context, workspace string, _ time.Duration) error {
	if !l.confirmer.Fresh() {
		return &refuser.Error{Code: refuser.StateStale}
	}
	a, ok := l.account(workspace)
	if !ok {
		return &refuser.Error{Code: refuser.KeyUnknown}
	}
	granted, w, wait := a.take(time.Now(), l.confirmer)
	if granted {
		return nil
	}
	if w == nil {
		return refusal(wait)
	}
	l.borrowers[ShardOf(workspace)].nudge()
	return l.await(ctx, a, w)
}

func (l *Limiter) await(ctx context.Context, a *account, w *waiter) error {
	timer := time.NewTimer(l.options.Patience)
	defer timer.Stop()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if a.cancel(w) {
		return nil
	}
	return refusal(a.wait())
}

func refusal(wait time.Duration) error {
	return &refuser.Error{Code: refuser.RateExceeded, Detail: refuser.Detail{Retry: wait}}
}

// account returns the account of a workspace known to the present state.
func (l *Limiter) account(workspace string) (*account, bool) {
	l.mu.RLock()
	a := l.accounts[workspace]
	l.mu.RUnlock()
	if a != nil {
		return a, true
	}
	snapshot := l.confirmer.Snapshot()
	if snapshot == nil {
		return nil, false
	}
	limit, ok := snapshot.Limit(workspace)
	if !ok {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts[workspace] == nil {
		l.accounts[workspace] = newAccount(workspace, limit, l.options.Patience)
	}
	return l.accounts[workspace], true
}

// change follows the step to a new state.
func (l *Limiter) change(c confirmer.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name, incarnation := l.identity.Identity()
	fenced := c.New.Fenced(name, incarnation)
	for workspace, a := range l.accounts {
		limit, ok := c.New.Limit(workspace)
		if !ok || fenced {
			a.void()
			delete(l.accounts, workspace)
			continue
		}
		a.adapt(limit)
		if ended := termOf(c.Old, workspace); ended != termOf(c.New, workspace) {
			next, _ := c.New.Shard(ShardOf(workspace))
			a.supersede(ended, next, c.OldValidUntil)
		}
	}
	for _, b := range l.borrowers {
		b.nudge()
	}
}

// lapse gives up all loans, since their lender may have taken them back while
// this node's state was not fresh.
func (l *Limiter) lapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.void()
	}
}

func termOf(s *resolver.Snapshot, workspace string) uint64 {
	if s == nil {
		return 0
	}
	shard, _ := s.Shard(ShardOf(workspace))
	return shard.GetTerm()
}

// Return gives all loans back. The limiter admits nothing afterwards.
func (l *Limiter) Return(ctx context.Context) {
	var group sync.WaitGroup
	for _, b := range l.borrowers {
		group.Go(func() { b.giveBack(ctx) })
	}
	group.Wait()
}

// inShard returns the accounts of a shard.
func (l *Limiter) inShard(shard uint32) []*account {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var found []*account
	for workspace, a := range l.accounts {
		if ShardOf(workspace) == shard {
			found = append(found, a)
		}
	}
	return found
}
