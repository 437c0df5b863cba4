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

// take grants a token at once, or returns a waiter for one, or none and the time
// after which there may be one.
func (a *account) take(now time.Time, c Confirmer) (granted bool, w *waiter, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals++
	if len(a.waiters) == 0 && a.usable(now, c) && a.bucket.TryTake(now) {
		return true, nil, 0
	}
	if len(a.waiters) >= maxWaiters {
		return false, nil, a.soonest()
	}
	own, ok := a.bucket.Wait(float64(len(a.waiters) + 1))
	if now.Before(a.dry) && (!ok || own > a.patience) {
		return false, nil, a.soonest()
	}
	w = &waiter{done: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	return false, w, 0
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
	for len(a.waiters) > 0 && a.usable(now, c) && a.bucket.TryTake(now) {
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
