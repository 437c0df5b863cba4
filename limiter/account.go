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

// account holds the loan of one workspace at this node and the requests that
// wait for its tokens.
type account struct {
	workspace string
	maxWait   time.Duration

	mu     sync.Mutex
	bucket Bucket
	limit  resolver.Limit
	// term is the shard term in which the loan was granted.
	term uint64
	// expiresAt is the time until which a loan of an ended term may be used.
	expiresAt time.Time
	waiters   []*waiter
	// reportPending is true from a report until its answer. While the holder does
	// not answer, no part of the loan is returned, because it could not be
	// borrowed again.
	reportPending bool
	// frozen is true while the holder only renews existing loans.
	frozen bool
	// discarded is true if the loan was dropped after the last report, so that
	// the answer to that report must not be applied.
	discarded bool
	// requestedTokens is the number of tokens requested in the last report.
	requestedTokens float64
	// poolEmptyUntil is the time until which the holder's pool is assumed to be
	// empty.
	poolEmptyUntil time.Time

	// arrivals counts arrivals since measuredAt.
	arrivals   int
	demand     float64
	measuredAt time.Time
	// expectedArrivals is the number of arrivals that the estimated demand
	// predicts since the last arrival.
	expectedArrivals float64
	reportedDemand   float64
	reportedAt       time.Time
	// maxReportInterval is the time after which a report is due even if demand has
	// not changed. Zero makes a report due as soon as permitted.
	maxReportInterval time.Duration
	// minReportInterval is the minimum time between two reports, as set by the
	// holder.
	minReportInterval time.Duration
}

func newAccount(workspace string, limit resolver.Limit, maxWait time.Duration) *account {
	return &account{workspace: workspace, limit: limit, maxWait: maxWait, measuredAt: time.Now()}
}

// takeOrWait takes a token if one is available. Otherwise it returns a queued
// waiter, or, if the queue is full or no token is expected within maxWait, the time
// after which to retry.
func (a *account) takeOrWait(now time.Time, c Confirmer) (granted bool, w *waiter, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals++
	if len(a.waiters) == 0 && a.usable(now, c) && a.bucket.TryTake(now) {
		return true, nil, 0
	}
	if len(a.waiters) >= maxWaiters {
		return false, nil, a.retryAfterLocked()
	}
	bucketWait, ok := a.bucket.Wait(float64(len(a.waiters) + 1))
	if now.Before(a.poolEmptyUntil) && (!ok || bucketWait > a.maxWait) {
		return false, nil, a.retryAfterLocked()
	}
	w = &waiter{done: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	return false, w, 0
}

// usable reports whether tokens of the loan may be used. The caller holds the
// lock.
func (a *account) usable(now time.Time, c Confirmer) bool {
	if termOf(c.Snapshot(), a.workspace) != a.term {
		return now.Before(a.expiresAt)
	}
	return c.Fresh()
}

// retryAfterLocked returns the time in which the workspace's rate yields one
// token, at least a second. The caller holds the lock.
func (a *account) retryAfterLocked() time.Duration {
	if a.limit.Rate <= 0 {
		return time.Minute
	}
	return max(time.Duration(float64(time.Second)/a.limit.Rate), time.Second)
}

func (a *account) retryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryAfterLocked()
}

// cancel removes a waiter and reports whether it had already been granted a
// token.
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

// grantWaiters grants the available tokens to waiters in order of arrival. The
// caller holds the lock.
func (a *account) grantWaiters(now time.Time, c Confirmer) {
	for len(a.waiters) > 0 && a.usable(now, c) && a.bucket.TryTake(now) {
		a.grantFirstWaiter()
	}
}

// grantFirstWaiter removes the first waiter from the queue and grants its
// request. The caller holds the lock.
func (a *account) grantFirstWaiter() {
	w := a.waiters[0]
	a.waiters = a.waiters[1:]
	w.granted = true
	close(w.done)
}

// updateDemand grants tokens to waiters and updates the demand estimate, an
// exponential moving average of the arrival rate.
func (a *account) updateDemand(now time.Time, c Confirmer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantWaiters(now, c)
	elapsed := now.Sub(a.measuredAt)
	if elapsed < demandInterval {
		return
	}
	rate := float64(a.arrivals) / elapsed.Seconds()
	a.expectedArrivals += a.demand * elapsed.Seconds()
	if a.arrivals > 0 {
		a.expectedArrivals = 0
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothingTime(max(a.demand, rate))))
	a.demand += weight * (rate - a.demand)
	if a.expectedArrivals > maxMissedArrivals {
		a.demand = 0
	}
	if a.demand < minDemandChange/10 {
		a.demand = 0
	}
	a.arrivals = 0
	a.measuredAt = now
}

// smoothingTime returns the time constant of the demand estimate. It is short
// at high arrival rates, so that demand that moved to another node is detected
// quickly.
func smoothingTime(demand float64) time.Duration {
	if demand <= 0 {
		return maxSmoothing
	}
	d := time.Duration(smoothingArrivals / demand * float64(time.Second))
	return min(max(d, minSmoothing), maxSmoothing)
}

// applyLimit scales the loan down immediately if the workspace's limit was
// lowered, without waiting for the holder.
func (a *account) applyLimit(limit resolver.Limit) {
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
	a.maxReportInterval = 0
}

// endTerm lets the loan expire at the given time because its term has ended. If
// the next holder received the loan ledgers, the loan continues in the new term.
func (a *account) endTerm(ended uint64, next *schema.Shard, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.term == ended {
		a.expiresAt = until
	}
	if a.term == ended && next.GetCarried() && next.GetTerm() == ended+1 {
		a.term = next.GetTerm()
	}
	a.maxReportInterval = 0
	a.reportedDemand = 0
}

// discardLoan sets the loan to zero and invalidates the answer to a report under
// way.
func (a *account) discardLoan() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discarded = true
	a.bucket.Resize(time.Now(), 0, 0)
}

// clearDemand sets the demand to zero and drops the waiters, so that the next
// report requests nothing.
func (a *account) clearDemand() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand = 0
	a.waiters = nil
}
