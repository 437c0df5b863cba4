package guard

import "time"

const (
	// maxIntakeWait is the longest wait for a token of a cold upstream, and bounds the
	// queue to the requests that get one in this time. Others may serve the rest sooner.
	maxIntakeWait = 250 * time.Millisecond
	// intakeBurstShare is the part of the margin of a bound that may be used at once.
	intakeBurstShare = 0.25
	// arrivalSpread is the part of a second by which requests may reach the upstream
	// closer to each other than they were admitted.
	arrivalSpread = 0.25
	// coldSlowdown is the assumed ratio of the time of a request at a cold upstream to
	// that at a warm one.
	coldSlowdown = 2
)

// Intake limits the requests to an upstream that is cold.
type Intake struct {
	// PerSecond is the number of requests per second, or zero for no limit, and Burst
	// that of requests admitted at once.
	PerSecond, Burst float64
	// Until is the time at which the upstream is warm and the limit ends.
	Until time.Time
}

// NewIntake returns the limit for an upstream that bears a number of requests per second
// until it is warm. No more than that number times ratio, plus margin, may arrive in any
// second.
func NewIntake(bears, ratio, margin float64, until time.Time) Intake {
	if bears <= 0 {
		return Intake{}
	}
	bound := bears*ratio + margin
	burst := max(1, min(margin*intakeBurstShare, bound/2))
	// An upstream that bears less than a request per second still gets single ones.
	rate := max(min(bears*(1+ratio)/2, (bound-burst)/(1+arrivalSpread)), bears/2)
	return Intake{PerSecond: rate, Burst: burst, Until: until}
}

// intakeLimiter is a token bucket with one token for each request to a cold upstream. Its
// zero value admits all requests.
//
// The bucket starts empty: if its predecessor, of an earlier process or instance, was used
// up a moment ago, both together admit no more than one bucket would.
type intakeLimiter struct {
	Intake
	tokens     float64
	refilledAt time.Time
	// refused counts the requests refused because of the limit.
	refused uint64
}

func (l *intakeLimiter) limited(now time.Time) bool { return l.PerSecond > 0 && now.Before(l.Until) }

func (l *intakeLimiter) set(now time.Time, i Intake) {
	if l.limited(now) {
		l.refill(now)
	} else {
		l.tokens, l.refilledAt = 0, now
	}
	l.Intake = i
}

func (l *intakeLimiter) refill(now time.Time) {
	l.tokens = min(l.Burst, l.tokens+l.PerSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// available reports whether a request may be admitted now.
func (l *intakeLimiter) available(now time.Time) bool {
	if !l.limited(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

func (l *intakeLimiter) take(now time.Time) {
	if l.limited(now) {
		l.tokens--
	}
}

// untilNext returns the time until a request may be admitted, as of the last refill.
func (l *intakeLimiter) untilNext(now time.Time) time.Duration {
	if !l.limited(now) {
		return 0
	}
	missing := max(1-l.tokens, 0)
	return min(time.Duration(missing/l.PerSecond*float64(time.Second)), l.Until.Sub(now))
}

// queueLimit returns the number of requests that may wait for a token.
func (l *intakeLimiter) queueLimit() int {
	return max(1, int(l.PerSecond*maxIntakeWait.Seconds()))
}

// bearsCold reports whether a request can meet its objective at a cold upstream after a
// wait for a token.
func bearsCold(r Request) bool {
	return r.Objective == 0 || r.Objective >= coldSlowdown*r.Expected
}

// SetIntake limits the requests to the upstream while it is cold, in addition to the other
// limits. The zero value ends the limit.
func (g *Guard) SetIntake(i Intake) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.updateMeanLoad(now)
	g.intake.set(now, i)
	if g.intake.limited(now) {
		for g.queue.length > g.intake.queueLimit() {
			g.queue.evict().decision <- false
		}
	}
	g.admitQueued(now)
}

// IntakeRefusals returns the number of requests that were refused because the upstream was
// cold.
func (g *Guard) IntakeRefusals() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intake.refused
}
