package limiter

import (
	"context"
	"sync"
	"time"

	"quetzalhub/schema"
)

// borrower exchanges reports and loans with the holder of one shard. It has
// one call under way at a time, so that each report tells what became of the
// loan before it.
type borrower struct {
	limiter *Limiter
	shard   uint32
	caller  Caller
	wake    chan struct{}

	mu     sync.Mutex
	number uint64
	failed time.Time
}

func newBorrower(l *Limiter, shard uint32, caller Caller) *borrower {
	return &borrower{limiter: l, shard: shard, caller: caller, wake: make(chan struct{}, 1)}
}

// nudge makes the loop look at the accounts now.
func (b *borrower) nudge() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *borrower) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
			b.step(ctx)
		}
	}
}

// step reports the accounts that are due.
func (b *borrower) step(ctx context.Context) {
	now := time.Now()
	var due []*account
	for _, a := range b.limiter.inShard(b.shard) {
		a.measure(now, b.limiter.confirmer)
		if a.due(now) {
			due = append(due, a)
		}
	}
	if len(due) == 0 || now.Sub(b.failed) < retryPause {
		return
	}
	if !b.exchange(ctx, due) {
		b.failed = now
	}
}

// exchange sends one report and applies the loans of the answer.
func (b *borrower) exchange(ctx context.Context, accounts []*account) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	snapshot := b.limiter.confirmer.Snapshot()
	if snapshot == nil {
		return false
	}
	shard, ok := snapshot.Shard(b.shard)
	if !ok {
		return false
	}
	req := b.request(shard, accounts)
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	resp, err := b.caller.Borrow(ctx, shard.GetHolder(), req)
	if err != nil {
		return false
	}
	byName := make(map[string]*schema.Loan, len(resp.GetLoans()))
	for _, loan := range resp.GetLoans() {
		byName[loan.GetWorkspace()] = loan
	}
	present := b.limiter.confirmer.Snapshot()
	if held, _ := present.Shard(b.shard); held.GetTerm() != shard.GetTerm() {
		return false
	}
	current := resp.GetVersion() >= present.Version()
	for _, a := range accounts {
		if loan := byName[a.workspace]; loan != nil {
			a.apply(loan, shard.GetTerm(), current, b.limiter.confirmer)
		}
	}
	return true
}

func (b *borrower) request(shard *schema.Shard, accounts []*account) *schema.BorrowRequest {
	b.number++
	name, incarnation := b.limiter.identity.Identity()
	req := &schema.BorrowRequest{
		Borrower:    name,
		Incarnation: incarnation,
		Shard:       b.shard,
		Term:        shard.GetTerm(),
		Number:      b.number,
	}
	now := time.Now()
	for _, a := range accounts {
		req.Demands = append(req.Demands, a.report(now, shard.GetTerm()))
	}
	return req
}

// giveBack returns the loans of the shard.
func (b *borrower) giveBack(ctx context.Context) {
	var held []*account
	for _, a := range b.limiter.inShard(b.shard) {
		a.void()
		a.retire()
		held = append(held, a)
	}
	if len(held) > 0 {
		b.exchange(ctx, held)
	}
}
