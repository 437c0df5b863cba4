package limiter

import (
	"math"
	"time"

	"quetzalhub/schema"
)

// due tells whether the account should be reported to the holder.
func (a *account) due(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := now.Sub(a.told)
	if len(a.waiters) > 0 {
		return since >= a.pause
	}
	gone := a.demand == 0 && a.reported > 0
	if since < max(reportPause, a.pause) && !gone {
		return false
	}
	idle := a.demand == 0 && a.reported == 0 && a.bucket.Cap == 0
	if idle {
		return false
	}
	if a.low(now) {
		return true
	}
	if math.Abs(a.demand-a.reported) > max(minDrift, drift*a.reported) {
		return true
	}
	return since >= a.refresh
}

// low tells whether the bucket should be topped up from the holder's pool; the
// caller holds the lock.
func (a *account) low(now time.Time) bool {
	a.bucket.Refill(now)
	scarce := a.bucket.Rate < a.demand
	return scarce && !now.Before(a.dry) && a.bucket.Tokens < a.bucket.Cap/2
}

// report describes the account to the holder of the given term.
func (a *account) report(now time.Time, term uint64) *schema.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	fallen := a.demand < a.reported*(1-drift)
	returned := 0.0
	if fallen && a.term == term && !a.unanswered && !a.frozen {
		returned = a.shrink(now)
	}
	a.unanswered = true
	a.told = now
	a.voided = false
	a.reported = a.demand
	d := &schema.Demand{Workspace: a.workspace, Rate: a.demand, Tokens: float64(len(a.waiters))}
	if a.low(now) {
		d.Tokens += a.bucket.Cap - a.bucket.Tokens
	}
	a.wanted = d.GetTokens()
	d.Former = a.former(now, term)
	if a.term == term || d.Former {
		d.Held = a.bucket.Rate
		d.Cap = a.bucket.Cap
		d.Returned = returned
	}
	return d
}

// former tells whether the loan was made under the term before the given one and
// may still be used; the caller holds the lock.
func (a *account) former(now time.Time, term uint64) bool {
	return a.term > 0 && a.term+1 == term && now.Before(a.until)
}

// shrink lowers the loan in proportion to demand that has fallen and returns
// the tokens that no longer fit; the caller holds the lock.
func (a *account) shrink(now time.Time) float64 {
	a.bucket.Refill(now)
	ratio := a.demand / a.reported
	before := a.bucket.Tokens
	a.bucket.Resize(now, a.bucket.Rate*ratio, a.bucket.Cap*ratio)
	return before - a.bucket.Tokens
}

// apply takes over a loan made under a term. Tokens go to waiters first, since
// the loan may be too small to hold them.
func (a *account) apply(loan *schema.Loan, term uint64, current bool, c Confirmer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered = false
	if a.voided {
		return
	}
	now := time.Now()
	a.frozen = loan.GetFormer()
	a.refresh = loan.GetRefresh().AsDuration()
	a.pause = loan.GetPause().AsDuration()
	rate, limit := loan.GetRate(), loan.GetCap()
	if !current {
		// The holder has not seen the present state, which may lend less.
		rate = min(rate, a.bucket.Rate)
		limit = min(limit, a.bucket.Cap)
	}
	switch {
	case a.term == term:
	case loan.GetFormer() && a.former(now, term):
		a.term = term
	case loan.GetFormer():
		// The loan ended while the answer was on its way.
		return
	default:
		a.bucket = Bucket{Updated: now}
		a.term = term
	}
	lowered := rate < a.bucket.Rate || limit < a.bucket.Cap
	a.bucket.Resize(now, rate, limit)
	tokens := loan.GetTokens()
	for tokens >= 1 && len(a.waiters) > 0 && a.usable(now, c) {
		a.release()
		tokens--
	}
	a.bucket.Tokens = min(a.bucket.Cap, a.bucket.Tokens+tokens)
	a.serve(now, c)
	if lowered {
		// Frees at the holder what is no longer held here.
		a.refresh = reportPause
	}
	if a.wanted >= 1 && loan.GetTokens() < 1 {
		a.dry = now.Add(max(dryPause, a.pause))
	}
}
