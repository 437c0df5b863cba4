package divider

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// reserveShare is the share of a rate and burst that its holder keeps.
	reserveShare = 0.35
	// askTimeout bounds the question to a holder; a request waits for it.
	askTimeout = 50 * time.Millisecond
	// spentPause is the time for which an empty reserve is not asked again.
	spentPause = 30 * time.Millisecond
	// ahead is the time for which a node asks for tokens at once.
	ahead = 100 * time.Millisecond
	// startShare is the share of a full reserve that a new holder begins with.
	// What was admitted before a restart still counts in the present window.
	startShare = 0.5
	// grantShare is the largest share of a reserve given out at once.
	grantShare = 0.25
)

// reserve is what a holder keeps of one workspace.
type reserve struct {
	tokens float64
	filled time.Time
}

// ask borrows tokens from the holder of the reserve, or waits for the answer
// to a question under way. It is called with the lock held, and gives it up
// while it waits.
func (d *Divider) ask(ctx context.Context, workspace string, a *account) {
	if a.asking != nil {
		asking := a.asking
		d.mu.Unlock()
		select {
		case <-asking:
		case <-ctx.Done():
		}
		d.mu.Lock()
		return
	}
	holder := holderOf(d.fleet.View(), workspace)
	want := 1 + a.arrivals*ahead.Seconds()
	if name, _ := d.fleet.Identity(); holder == name {
		a.borrowed(d.grant(workspace, a.limit, want, time.Now()))
		return
	}
	a.asking = make(chan struct{})
	d.mu.Unlock()
	tokens := d.borrow(ctx, holder, workspace, want)
	d.mu.Lock()
	close(a.asking)
	a.asking = nil
	a.borrowed(tokens)
}

func (a *account) borrowed(tokens float64) {
	a.tokens += tokens
	if tokens < 1 {
		a.spent = time.Now().Add(spentPause)
	}
}

// borrow returns the tokens that the holder gives; none if it can't be reached.
func (d *Divider) borrow(ctx context.Context, holder, workspace string, want float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	name, incarnation := d.fleet.Identity()
	resp, err := d.lender.Borrow(ctx, holder, &schema.BorrowRequest{
		Borrower: name, Incarnation: incarnation, Demands: []*schema.Demand{{Workspace: workspace, Tokens: want}},
	})
	if err != nil {
		// Tokens of a lost answer are lost: the workspace gets less, not more.
		return 0
	}
	tokens := 0.0
	for _, l := range resp.GetLoans() {
		tokens += l.GetTokens()
	}
	return tokens
}

// holderOf returns the live node that wins the hash for a workspace.
func holderOf(v *gossiper.View, workspace string) string {
	best, most := "", uint64(0)
	for name, m := range v.Members {
		if !gossiper.Live(m) {
			continue
		}
		if h := xxhash.Sum64String(name + "/" + workspace); best == "" || h > most {
			best, most = name, h
		}
	}
	return best
}

// Borrow gives tokens of the reserves held here.
func (d *Divider) Borrow(req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
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

// Adopt does nothing: a reserve is not handed over, since the next holder
// fills its own.
func (d *Divider) Adopt(*schema.AdoptRequest) {}

// grant takes tokens out of a reserve; the caller holds the lock.
func (d *Divider) grant(workspace string, limit resolver.Limit, want float64, now time.Time) float64 {
	rate, size := d.whole(limit)
	r := d.reserves[workspace]
	if r == nil {
		r = &reserve{tokens: startShare * reserveShare * size, filled: now}
		d.reserves[workspace] = r
	}
	r.tokens = min(reserveShare*size, r.tokens+reserveShare*rate*now.Sub(r.filled).Seconds())
	r.filled = now
	if r.tokens < 1 {
		return 0
	}
	tokens := min(want, max(1, grantShare*r.tokens))
	r.tokens -= tokens
	return tokens
}
