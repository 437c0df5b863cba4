package allocator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// reserveShare is the share of each rate and burst that is kept in the reserve.
	reserveShare = 0.35
	// borrowTimeout is the timeout of a call to a holder, for which a request
	// waits.
	borrowTimeout = 50 * time.Millisecond
	// emptyReserveInterval is the time for which no tokens are borrowed from a
	// reserve that was empty.
	emptyReserveInterval = 30 * time.Millisecond
	// borrowAhead is the time of arrivals for which a node borrows tokens in one
	// call.
	borrowAhead = 100 * time.Millisecond
	// initialShare is the share of a full reserve with which a new holder starts.
	// It is below one because requests admitted before a restart still count in
	// the current window.
	initialShare = 0.5
	// maxGrantShare is the maximum share of a reserve granted to one request.
	maxGrantShare = 0.25
)

// reserve is the token bucket that a holder keeps for one workspace.
type reserve struct {
	tokens     float64
	refilledAt time.Time
}

// borrowTokens borrows tokens from the holder of the reserve, or waits for a call
// that is already under way. The caller holds the lock, which is released during
// the wait.
func (d *Allocator) borrowTokens(ctx context.Context, workspace string, a *account) {
	if a.borrowDone != nil {
		borrowDone := a.borrowDone
		d.mu.Unlock()
		select {
		case <-borrowDone:
		case <-ctx.Done():
		}
		d.mu.Lock()
		return
	}
	holder := holderOf(d.fleet.View(), workspace)
	requested := 1 + a.arrivals*borrowAhead.Seconds()
	if name, _ := d.fleet.Identity(); holder == name {
		a.addBorrowed(d.grant(workspace, a.limit, requested, time.Now()))
		return
	}
	a.borrowDone = make(chan struct{})
	d.mu.Unlock()
	tokens := d.callHolder(ctx, holder, workspace, requested)
	d.mu.Lock()
	close(a.borrowDone)
	a.borrowDone = nil
	a.addBorrowed(tokens)
}

// addBorrowed adds borrowed tokens and records if the reserve was empty.
func (a *account) addBorrowed(tokens float64) {
	a.tokens += tokens
	if tokens < 1 {
		a.reserveEmptyUntil = time.Now().Add(emptyReserveInterval)
	}
}

// callHolder requests tokens from the holder and returns the number granted, or
// zero if the call fails.
func (d *Allocator) callHolder(ctx context.Context, holder, workspace string, requested float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	name, incarnation := d.fleet.Identity()
	resp, err := d.lender.Borrow(ctx, holder, &schema.BorrowRequest{
		Borrower: name, Incarnation: incarnation, Demands: []*schema.Demand{{Workspace: workspace, Tokens: requested}},
	})
	if err != nil {
		// Tokens of a lost answer are not used by any node, so the workspace is
		// admitted less than its rate, not more.
		return 0
	}
	tokens := 0.0
	for _, l := range resp.GetLoans() {
		tokens += l.GetTokens()
	}
	return tokens
}

// holderOf returns the holder of a workspace's reserve: the live node with the
// highest hash of node and workspace name (rendezvous hashing).
func holderOf(v *gossiper.View, workspace string) string {
	best, highest := "", uint64(0)
	for name, m := range v.Members {
		if !gossiper.Live(m) {
			continue
		}
		if h := xxhash.Sum64String(name + "/" + workspace); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// Borrow grants tokens from the reserves held by this node.
func (d *Allocator) Borrow(req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resp := &schema.BorrowResponse{}
	snapshot := d.state.Snapshot()
	if snapshot == nil {
		return resp, nil
	}
	for _, demand := range req.GetDemands() {
		limit, ok := snapshot.Limit(demand.GetWorkspace())
		if !ok || !limit.HasRate() {
			continue
		}
		tokens := d.grant(demand.GetWorkspace(), limit, demand.GetTokens(), time.Now())
		resp.Loans = append(resp.Loans, &schema.Loan{Workspace: demand.GetWorkspace(), Tokens: tokens})
	}
	return resp, nil
}

// Adopt does nothing: a reserve is not handed over, because the next holder
// creates its own.
func (d *Allocator) Adopt(*schema.AdoptRequest) {}

// grant takes up to the requested number of tokens from a reserve. The caller
// holds the lock.
func (d *Allocator) grant(workspace string, limit resolver.Limit, requested float64, now time.Time) float64 {
	rate, size := d.fleetBucket(limit)
	r := d.reserves[workspace]
	if r == nil {
		r = &reserve{tokens: initialShare * reserveShare * size, refilledAt: now}
		d.reserves[workspace] = r
	}
	r.tokens = min(reserveShare*size, r.tokens+reserveShare*rate*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens < 1 {
		return 0
	}
	tokens := min(requested, max(1, maxGrantShare*r.tokens))
	r.tokens -= tokens
	return tokens
}
