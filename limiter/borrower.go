package limiter

import (
	"context"
	"sync"
	"time"

	"quetzalhub/schema"
)

// borrower reports demand to the holder of one shard and applies the loans
// returned. It makes one call at a time, so that each report states what is
// held of the preceding loan.
type borrower struct {
	limiter *Limiter
	shard   uint32
	caller  Caller
	wake    chan struct{}

	mu sync.Mutex
	// number is the number of the last request.
	number   uint64
	failedAt time.Time
}

func newBorrower(l *Limiter, shard uint32, caller Caller) *borrower {
	return &borrower{limiter: l, shard: shard, caller: caller, wake: make(chan struct{}, 1)}
}

// notify wakes the loop in run to check the accounts for due reports.
func (b *borrower) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *borrower) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
			b.reportDue(ctx)
		}
	}
}

// reportDue updates all accounts of the shard and reports those that are due.
func (b *borrower) reportDue(ctx context.Context) {
	now := time.Now()
	var due []*account
	for _, a := range b.limiter.inShard(b.shard) {
		a.updateDemand(now, b.limiter.confirmer)
		if a.isReportDue(now) {
			due = append(due, a)
		}
	}
	if len(due) == 0 || now.Sub(b.failedAt) < retryInterval {
		return
	}
	if !b.sendReport(ctx, due) {
		b.failedAt = now
	}
}

// sendReport sends one report, applies the loans of the answer and reports
// whether that succeeded.
func (b *borrower) sendReport(ctx context.Context, accounts []*account) bool {
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
	req := b.newRequest(shard, accounts)
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
	latest := b.limiter.confirmer.Snapshot()
	if held, _ := latest.Shard(b.shard); held.GetTerm() != shard.GetTerm() {
		return false
	}
	current := resp.GetVersion() >= latest.Version()
	for _, a := range accounts {
		if loan := byName[a.workspace]; loan != nil {
			a.applyLoan(loan, shard.GetTerm(), current, b.limiter.confirmer)
		}
	}
	return true
}

func (b *borrower) newRequest(shard *schema.Shard, accounts []*account) *schema.BorrowRequest {
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
		req.Demands = append(req.Demands, a.newDemand(now, shard.GetTerm()))
	}
	return req
}

// returnLoans discards the loans of the shard and reports that to the holder.
func (b *borrower) returnLoans(ctx context.Context) {
	var held []*account
	for _, a := range b.limiter.inShard(b.shard) {
		a.discardLoan()
		a.clearDemand()
		held = append(held, a)
	}
	if len(held) > 0 {
		b.sendReport(ctx, held)
	}
}
