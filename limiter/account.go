package limiter

import (
	"math"
	"sync"
	"time"

	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// waiter is a request that waits for a token.
type waiter struct {
	done    chan struct{}
	granted bool
}

// account is the loan of one workspace at this node.
type account struct {
	workspace string
	patience  time.Duration

	mu     sync.Mutex
	bucket Bucket
	limit  resolver.Limit
	// term is the term of the shard under which the loan was made.
	term uint64
	// until ends the use of a loan whose term is over.
	until   time.Time
	waiters []*waiter
	// unanswered is true from a report until its answer. While the holder does
	// not answer, nothing is given back, since it could not be had again.
	unanswered bool
	// frozen is true while the holder lets loans go on but lends nothing new.
	frozen bool
	// voided is true if the loan was given up after the last report.
	voided bool
	// wanted is the number of tokens asked for in the last report.
	wanted float64
	// dry is the time until which the holder is taken to have no tokens left.
	dry time.Time

	arrivals int
	demand   float64
	measured time.Time
	// missed is the number of arrivals expected since the last one.
	missed   float64
	reported float64
	told     time.Time
	refresh  time.Duration
	// pause is the least time between two reports.
	pause time.Duration
}

func newAccount(workspace string, limit resolver.Limit, patience time.Duration) *account {
	return &account{workspace: workspace, limit: limit, patience: patience, measured: time.Now()}
}

// take returns a granted waiter, one to wait for, or none and the time after
// which a token may be there.
func (a *account) take(now time.Time, c Confirmer) (*waiter, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals++
	if len(a.waiters) == 0 && a.usable(now, c) && a.bucket.Take(now) {
		return &waiter{granted: true}, 0
	}
	if len(a.waiters) >= maxWaiters {
		return nil, a.soonest()
	}
	own, ok := a.bucket.Wait(float64(len(a.waiters) + 1))
	if now.Before(a.dry) && (!ok || own > a.patience) {
		return nil, a.soonest()
	}
	w := &waiter{done: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	return w, 0
}

// usable tells whether tokens may be spent; the caller holds the lock.
func (a *account) usable(now time.Time, c Confirmer) bool {
	if termOf(c.Snapshot(), a.workspace) != a.term {
		return now.Before(a.until)
	}
	return c.Fresh()
}

// soonest returns the time in which the fleet earns one token.
func (a *account) soonest() time.Duration {
	if a.limit.Rate <= 0 {
		return time.Minute
	}
	return max(time.Duration(float64(time.Second)/a.limit.Rate), time.Second)
}

func (a *account) wait() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.soonest()
}

// cancel removes a waiter and tells whether it had been granted a token.
func (a *account) cancel(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.granted {
		return true
	}
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			break
		}
	}
	return false
}

// serve hands tokens to waiters; the caller holds the lock.
func (a *account) serve(now time.Time, c Confirmer) {
	for len(a.waiters) > 0 && a.usable(now, c) && a.bucket.Take(now) {
		a.release()
	}
}

// release grants the first waiter; the caller holds the lock.
func (a *account) release() {
	w := a.waiters[0]
	a.waiters = a.waiters[1:]
	w.granted = true
	close(w.done)
}

// measure updates the estimate of demand and serves waiters.
func (a *account) measure(now time.Time, c Confirmer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serve(now, c)
	elapsed := now.Sub(a.measured)
	if elapsed < tick {
		return
	}
	rate := float64(a.arrivals) / elapsed.Seconds()
	a.missed += a.demand * elapsed.Seconds()
	if a.arrivals > 0 {
		a.missed = 0
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing(max(a.demand, rate))))
	a.demand += weight * (rate - a.demand)
	if a.missed > silentArrivals {
		a.demand = 0
	}
	if a.demand < minDrift/10 {
		a.demand = 0
	}
	a.arrivals = 0
	a.measured = now
}

// smoothing returns the time constant of the estimate: short where arrivals
// are many, so that demand that went elsewhere is noticed soon.
func smoothing(demand float64) time.Duration {
	if demand <= 0 {
		return maxSmoothing
	}
	d := time.Duration(smoothingArrivals / demand * float64(time.Second))
	return min(max(d, minSmoothing), maxSmoothing)
}

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

// adapt scales the loan down at once if the workspace's limit was lowered.
func (a *account) adapt(limit resolver.Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit == a.limit {
		return
	}
	rate, burst := a.bucket.Rate, a.bucket.Cap
	if limit.Rate < a.limit.Rate {
		rate *= limit.Rate / a.limit.Rate
	}
	if limit.Burst < a.limit.Burst {
		burst *= limit.Burst / a.limit.Burst
	}
	a.bucket.Resize(time.Now(), rate, burst)
	a.limit = limit
	a.refresh = 0
}

// supersede ends the use of the loan at a time, since its term is over. If the
// next holder took over the books, the loan goes on under the new term.
func (a *account) supersede(ended uint64, next *schema.Shard, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.term == ended {
		a.until = until
	}
	if a.term == ended && next.GetCarried() && next.GetTerm() == ended+1 {
		a.term = next.GetTerm()
	}
	a.refresh = 0
	a.reported = 0
}

// void gives the loan up.
func (a *account) void() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.voided = true
	a.bucket.Resize(time.Now(), 0, 0)
}

// retire makes the account report that it wants nothing.
func (a *account) retire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand = 0
	a.waiters = nil
}
