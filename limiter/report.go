package limiter

import (
	"math"
	"time"

	"quetzalhub/schema"
)

// isReportDue reports whether the account should be reported to the holder now.
func (a *account) isReportDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := now.Sub(a.reportedAt)
	if len(a.waiters) > 0 {
		return since >= a.minReportInterval
	}
	demandEnded := a.demand == 0 && a.reportedDemand > 0
	if since < max(demandReportInterval, a.minReportInterval) && !demandEnded {
		return false
	}
	idle := a.demand == 0 && a.reportedDemand == 0 && a.bucket.Cap == 0
	if idle {
		return false
	}
	if a.needsTokens(now) {
		return true
	}
	if math.Abs(a.demand-a.reportedDemand) > max(minDemandChange, demandChangeRatio*a.reportedDemand) {
		return true
	}
	return since >= a.maxReportInterval
}

// needsTokens reports whether the bucket should be topped up from the holder's
// pool. The caller holds the lock.
func (a *account) needsTokens(now time.Time) bool {
	a.bucket.Refill(now)
	rateTooLow := a.bucket.Rate < a.demand
	return rateTooLow && !now.Before(a.poolEmptyUntil) && a.bucket.Tokens < a.bucket.Cap/2
}

// newDemand returns the report on the account for the holder of the given term
// and records that it was sent.
func (a *account) newDemand(now time.Time, term uint64) *schema.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	demandFell := a.demand < a.reportedDemand*(1-demandChangeRatio)
	returned := 0.0
	if demandFell && a.term == term && !a.reportPending && !a.frozen {
		returned = a.shrinkLoan(now)
	}
	a.reportPending = true
	a.reportedAt = now
	a.discarded = false
	a.reportedDemand = a.demand
	d := &schema.Demand{Workspace: a.workspace, Rate: a.demand, Tokens: float64(len(a.waiters))}
	if a.needsTokens(now) {
		d.Tokens += a.bucket.Cap - a.bucket.Tokens
	}
	a.requestedTokens = d.GetTokens()
	d.Former = a.holdsFormerLoan(now, term)
	if a.term == term || d.Former {
		d.Held = a.bucket.Rate
		d.Cap = a.bucket.Cap
		d.Returned = returned
	}
	return d
}

// holdsFormerLoan reports whether the loan was granted in the term before the
// given one and may still be used. The caller holds the lock.
func (a *account) holdsFormerLoan(now time.Time, term uint64) bool {
	return a.term > 0 && a.term+1 == term && now.Before(a.expiresAt)
}

// shrinkLoan reduces the loan in proportion to the fall in demand and returns
// the number of tokens beyond its new size. The caller holds the lock.
func (a *account) shrinkLoan(now time.Time) float64 {
	a.bucket.Refill(now)
	ratio := a.demand / a.reportedDemand
	before := a.bucket.Tokens
	a.bucket.Resize(now, a.bucket.Rate*ratio, a.bucket.Cap*ratio)
	return before - a.bucket.Tokens
}

// applyLoan applies a loan granted in the given term; current is false if the
// holder used an older state. Tokens go to waiters first, because the bucket may
// be too small to hold them.
func (a *account) applyLoan(loan *schema.Loan, term uint64, current bool, c Confirmer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportPending = false
	if a.discarded {
		return
	}
	now := time.Now()
	a.frozen = loan.GetFormer()
	a.maxReportInterval = loan.GetRefresh().AsDuration()
	a.minReportInterval = loan.GetPause().AsDuration()
	rate, limit := loan.GetRate(), loan.GetCap()
	if !current {
		// The holder has not applied the current state, whose limits may be
		// lower.
		rate = min(rate, a.bucket.Rate)
		limit = min(limit, a.bucket.Cap)
	}
	switch {
	case a.term == term:
	case loan.GetFormer() && a.holdsFormerLoan(now, term):
		a.term = term
	case loan.GetFormer():
		// The loan expired while the answer was in transit.
		return
	default:
		a.bucket = Bucket{Updated: now}
		a.term = term
	}
	lowered := rate < a.bucket.Rate || limit < a.bucket.Cap
	a.bucket.Resize(now, rate, limit)
	tokens := loan.GetTokens()
	for tokens >= 1 && len(a.waiters) > 0 && a.usable(now, c) {
		a.grantFirstWaiter()
		tokens--
	}
	a.bucket.Tokens = min(a.bucket.Cap, a.bucket.Tokens+tokens)
	a.grantWaiters(now, c)
	if lowered {
		// Report soon, so that the holder can lend out what was released here.
		a.maxReportInterval = demandReportInterval
	}
	if a.requestedTokens >= 1 && loan.GetTokens() < 1 {
		a.poolEmptyUntil = now.Add(max(emptyPoolInterval, a.minReportInterval))
	}
}
