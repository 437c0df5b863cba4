package guard

import (
	"time"
)

const (
	// burstPeriod is the time for which unused tokens of a rate limit accumulate.
	burstPeriod = 250 * time.Millisecond
	// maxRateWait bounds the queue of a guard with a rate limit to the requests that
	// the upstream accepts in this time. Other upstreams may serve the rest sooner.
	maxRateWait = 100 * time.Millisecond
)

// rateLimiter is a token bucket with one token for each request that an upstream
// accepts. Its zero value admits all requests.
type rateLimiter struct {
	// perSecond is the number of requests per second, or zero for no limit.
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

// set changes the limit. A new bucket starts empty, since an upstream that has just
// asked for fewer requests has received too many.
func (r *rateLimiter) set(now time.Time, perSecond float64) {
	r.refill(now)
	if r.perSecond == 0 {
		r.tokens = 0
	}
	r.perSecond = perSecond
}

func (r *rateLimiter) limited() bool { return r.perSecond > 0 }

func (r *rateLimiter) refill(now time.Time) {
	capacity := max(1, r.perSecond*burstPeriod.Seconds())
	r.tokens = min(capacity, r.tokens+r.perSecond*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
}

// available reports whether a request may be admitted now.
func (r *rateLimiter) available(now time.Time) bool {
	if !r.limited() {
		return true
	}
	r.refill(now)
	return r.tokens >= 1
}

// take consumes the token of an admitted request.
func (r *rateLimiter) take() {
	if r.limited() {
		r.tokens--
	}
}

// untilNext returns the time until a request may be admitted, as of the last refill.
func (r *rateLimiter) untilNext() time.Duration {
	missing := max(1-r.tokens, 0)
	return time.Duration(missing / r.perSecond * float64(time.Second))
}

// SetRateLimit limits the requests per second that the guard admits, in addition to the
// concurrency limit. Zero removes the limit.
func (g *Guard) SetRateLimit(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.rate.set(now, perSecond)
	g.admitQueued(now)
}

// scheduleAdmission admits queued requests when the rate limit and the intake of a cold
// upstream next allow one. The caller holds the lock.
func (g *Guard) scheduleAdmission() {
	now := time.Now()
	if !g.rate.limited() && !g.intake.limited(now) || g.queue.length == 0 || g.active >= g.limiter.limit() || g.admissionScheduled {
		return
	}
	g.admissionScheduled = true
	wait := g.intake.untilNext(now)
	if g.rate.limited() {
		wait = max(wait, g.rate.untilNext())
	}
	// A timer that fires early by rounding would find no token.
	time.AfterFunc(wait+time.Microsecond, g.admitScheduled)
}

func (g *Guard) admitScheduled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admissionScheduled = false
	now := time.Now()
	g.updateMeanLoad(now)
	g.admitQueued(now)
}
