// Package limiter enforces the rate and burst of each workspace across the
// fleet.
//
// Workspaces are divided into shards. The holder of a shard lends parts of the
// rates and bursts of its workspaces to other nodes according to their demand.
// A node admits requests from a token bucket of the borrowed size, without a
// call to another node. The loans and the remainder kept by the holder never
// exceed the configured rate and burst, so all nodes together admit at most
// rate x window + burst in every window; see docs/design/0003-shares.md for the
// proof under failures.
//
// A loan may be used while the node's state is fresh and contains the shard term
// in which the loan was granted. A node that learns of a new term may use the
// loan for as long as a node that has not yet learned of it.
//
// # Usage
//
//	l := limiter.New(identity, confirmer, caller)
//	go l.Run(ctx)
//	if err := l.Admit(ctx, "gloves", 0); err != nil { ... }
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

// Shards is the number of shards of workspaces. It must be the same in all
// releases.
const Shards = 16

// Confirmer provides the node's state and its freshness.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	Fresh() bool
	OnChange(confirmer.ChangeListener)
	OnFreshnessRestored(confirmer.RestoreListener)
}

// Caller sends borrow requests to the holder of a shard.
type Caller interface {
	// Borrow sends a request to the holder. It returns only after the answer
	// has arrived or can no longer be used.
	Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error)
}

// Identity provides the name and incarnation of this node.
type Identity interface {
	Identity() (name string, incarnation uint64)
}

// Limiter admits requests within the rate and burst of their workspace.
type Limiter struct {
	options   Options
	identity  Identity
	confirmer Confirmer
	borrowers [Shards]*borrower

	mu       sync.RWMutex
	accounts map[string]*account
}

// New returns a limiter that sends borrow requests through the caller.
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
	c.OnChange(l.applyChange)
	c.OnFreshnessRestored(l.discardLoans)
	return l
}

// ShardOf returns the shard of a workspace.
func ShardOf(workspace string) uint32 {
	return uint32(xxhash.Sum64String(workspace) % Shards)
}

// Run reports demand and applies loans until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, b := range l.borrowers {
		group.Go(func() { b.run(ctx) })
	}
	group.Go(func() { repeater.Run(ctx, demandInterval, l.notifyBorrowers) })
	group.Wait()
}

// notifyBorrowers notifies the borrowers of shards in which this node has
// accounts.
func (l *Limiter) notifyBorrowers() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for workspace := range l.accounts {
		l.borrowers[ShardOf(workspace)].notify()
	}
}

// Admit takes a token of the workspace. If none is available, it waits for one
// for at most Options.MaxWait. It returns a *refuser.Error with code
// RateExceeded, StateStale or KeyUnknown.
func (l *Limiter) Admit(ctx context.Context, workspace string, _ time.Duration) error {
	if !l.confirmer.Fresh() {
		return &refuser.Error{Code: refuser.StateStale}
	}
	a, ok := l.account(workspace)
	if !ok {
		return &refuser.Error{Code: refuser.KeyUnknown}
	}
	granted, w, wait := a.takeOrWait(time.Now(), l.confirmer)
	if granted {
		return nil
	}
	if w == nil {
		return rateExceeded(wait)
	}
	l.borrowers[ShardOf(workspace)].notify()
	return l.waitForToken(ctx, a, w)
}

func (l *Limiter) waitForToken(ctx context.Context, a *account, w *waiter) error {
	timer := time.NewTimer(l.options.MaxWait)
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
	return rateExceeded(a.retryAfter())
}

func rateExceeded(wait time.Duration) error {
	return &refuser.Error{Code: refuser.RateExceeded, Detail: refuser.Detail{RetryAfter: wait}}
}

// account returns the account of a workspace and creates it if the current state
// contains the workspace.
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
		l.accounts[workspace] = newAccount(workspace, limit, l.options.MaxWait)
	}
	return l.accounts[workspace], true
}

// applyChange adapts the accounts to a new state.
func (l *Limiter) applyChange(c confirmer.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name, incarnation := l.identity.Identity()
	fenced := c.New.IsFenced(name, incarnation)
	for workspace, a := range l.accounts {
		limit, ok := c.New.Limit(workspace)
		if !ok || fenced {
			a.discardLoan()
			delete(l.accounts, workspace)
			continue
		}
		a.applyLimit(limit)
		if ended := termOf(c.Old, workspace); ended != termOf(c.New, workspace) {
			next, _ := c.New.Shard(ShardOf(workspace))
			a.endTerm(ended, next, c.OldValidUntil)
		}
	}
	for _, b := range l.borrowers {
		b.notify()
	}
}

// discardLoans discards all loans, because their holders may have reclaimed them
// while this node's state was not fresh.
func (l *Limiter) discardLoans() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.discardLoan()
	}
}

func termOf(s *resolver.Snapshot, workspace string) uint64 {
	if s == nil {
		return 0
	}
	shard, _ := s.Shard(ShardOf(workspace))
	return shard.GetTerm()
}

// ReturnLoans returns all loans to their holders. The limiter admits nothing
// afterwards.
func (l *Limiter) ReturnLoans(ctx context.Context) {
	var group sync.WaitGroup
	for _, b := range l.borrowers {
		group.Go(func() { b.returnLoans(ctx) })
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
