package guard

import (
	"math"
	"time"
)

// concurrencyLimiter estimates how many requests an upstream can serve
// concurrently.
type concurrencyLimiter interface {
	limit() int
	// noLoadLatency returns the latency without queueing at the upstream, or
	// zero if it is not known.
	noLoadLatency() time.Duration
	// addSample records the latency of a request that was admitted at
	// admittedAt and ended now, while active requests were running.
	addSample(now, admittedAt time.Time, latency time.Duration, active int)
}

const (
	// latencyTolerance is the accepted ratio of the latency to the no-load
	// latency.
	latencyTolerance = 1.5
	// minLimitFactor is the smallest factor applied to the limit in a window.
	minLimitFactor = 0.7
	// cutCheckRatio is the ratio to which a series of decreases must lower the
	// limit before the latencies at both limits are compared.
	cutCheckRatio = 0.7
	// slowdownDivisor divides the mean latency to get the no-load latency of an
	// upstream that has become slower; part of the latency may still be
	// queueing.
	slowdownDivisor = 1.2
	// minLatencyWindow is the period over which a minimum latency is taken.
	minLatencyWindow = 10 * time.Second
)

// newConcurrencyLimiter returns the algorithm selected by the options.
func newConcurrencyLimiter(o Options) concurrencyLimiter {
	switch {
	case o.FixedLimit:
		return fixedLimit(o.InitialLimit)
	case o.AIMD:
		return newAIMD(o)
	default:
		return newGradient(o)
	}
}

// fixedLimit is a concurrency limit that does not depend on latencies.
type fixedLimit int

func (f fixedLimit) limit() int { return int(f) }

func (f fixedLimit) noLoadLatency() time.Duration { return 0 }

func (f fixedLimit) addSample(time.Time, time.Time, time.Duration, int) {}

// gradient adjusts the limit by the ratio of the no-load latency, which is the
// minimum of the recent latencies, to the current latency.
//
// A latency above the no-load latency means either that requests queue at the
// upstream or that the upstream has become slower. A lower limit tells these
// apart: it shortens the queue and so the latency, while the latency of a
// slower upstream stays. In the second case the no-load latency is raised.
type gradient struct {
	options      Options
	currentLimit float64
	// slowStart is true until the limit is first lowered; the limit doubles
	// until then.
	slowStart bool

	windowStart time.Time
	latencySum  time.Duration
	count       int
	peakActive  int

	// minLatency is the no-load latency, and nextMinLatency the minimum of the
	// current minLatencyWindow, which began at minLatencySince.
	minLatency      time.Duration
	nextMinLatency  time.Duration
	minLatencySince time.Time

	// limitBeforeCuts and latencyBeforeCuts are the limit and the mean latency
	// before the current series of decreases; the limit is zero if there is none.
	limitBeforeCuts   float64
	latencyBeforeCuts time.Duration
}

func newGradient(o Options) *gradient {
	return &gradient{options: o, currentLimit: float64(o.InitialLimit), slowStart: true}
}

func (g *gradient) limit() int { return max(1, int(g.currentLimit)) }

func (g *gradient) noLoadLatency() time.Duration { return g.minLatency }

func (g *gradient) addSample(now, admittedAt time.Time, latency time.Duration, active int) {
	if g.windowStart.IsZero() {
		g.windowStart, g.minLatencySince = admittedAt, admittedAt
	}
	if admittedAt.Before(g.windowStart) {
		// The latency belongs to the previous limit.
		return
	}
	g.latencySum += max(latency, time.Microsecond)
	g.count++
	g.peakActive = max(g.peakActive, active)
	if now.Sub(g.windowStart) < measurementWindow || g.count < minSamples {
		return
	}
	g.updateLimit(now, g.latencySum/time.Duration(g.count))
	g.windowStart, g.latencySum, g.count, g.peakActive = now, 0, 0, 0
}

func (g *gradient) updateLimit(now time.Time, mean time.Duration) {
	g.updateMinLatency(now, mean)
	if g.isSlower(mean) {
		g.limitBeforeCuts = 0
		g.minLatency = time.Duration(float64(mean) / slowdownDivisor)
		g.nextMinLatency = g.minLatency
	}
	ratio := latencyTolerance * float64(g.minLatency) / float64(mean)
	if ratio >= 1 {
		g.limitBeforeCuts = 0
		g.increase()
		return
	}
	g.slowStart = false
	g.decrease(max(ratio, minLimitFactor), mean)
}

// isSlower reports whether the latency has not fallen with the limit, so that the
// upstream must have become slower. If the latency has fallen, the series of
// decreases ends.
func (g *gradient) isSlower(mean time.Duration) bool {
	if g.limitBeforeCuts == 0 || float64(g.limit()) > cutCheckRatio*float64(int(g.limitBeforeCuts)) {
		return false
	}
	// halfway is between no change of the latency and a fall with the limit.
	halfway := (1 + float64(g.limit())/g.limitBeforeCuts) / 2
	if float64(mean) > halfway*float64(g.latencyBeforeCuts) {
		return true
	}
	g.limitBeforeCuts = 0
	return false
}

// decrease lowers the limit and stores the limit and latency at the start of a
// series of decreases.
func (g *gradient) decrease(ratio float64, mean time.Duration) {
	if g.limitBeforeCuts == 0 {
		g.limitBeforeCuts, g.latencyBeforeCuts = g.currentLimit, mean
	}
	g.currentLimit = max(1, g.currentLimit*ratio)
}

func (g *gradient) increase() {
	if g.peakActive < g.limit()/2 {
		return
	}
	step := math.Sqrt(g.currentLimit)
	if g.slowStart {
		step = g.currentLimit
	}
	g.currentLimit = min(float64(g.options.MaxLimit), g.currentLimit+step)
}

// updateMinLatency keeps the smallest mean latency of the previous and the
// current period; a period ends once minLatencyWindow has passed.
func (g *gradient) updateMinLatency(now time.Time, mean time.Duration) {
	if g.nextMinLatency == 0 || mean < g.nextMinLatency {
		g.nextMinLatency = mean
	}
	if now.Sub(g.minLatencySince) >= minLatencyWindow {
		g.minLatency, g.nextMinLatency, g.minLatencySince = g.nextMinLatency, 0, now
		// A briefly lower limit drains the upstream's queue, so that the
		// no-load latency can be measured.
		g.currentLimit = max(1, g.currentLimit*minLimitFactor)
		return
	}
	if g.minLatency == 0 || mean < g.minLatency {
		g.minLatency = mean
	}
}

const (
	// aimdTolerance is the ratio of the latency to the no-load latency above
	// which the upstream counts as overloaded.
	aimdTolerance = 2.0
	// aimdDecrease is the factor applied to the limit in an overload.
	aimdDecrease = 0.85
)

// aimd raises the limit by one in each window and multiplies it by aimdDecrease
// in an overload.
type aimd struct {
	gradient
}

func newAIMD(o Options) *aimd { return &aimd{*newGradient(o)} }

func (a *aimd) addSample(now, admittedAt time.Time, latency time.Duration, active int) {
	before := a.currentLimit
	count := a.count
	a.gradient.addSample(now, admittedAt, latency, active)
	if a.count != 0 || count == 0 {
		return
	}
	// The gradient has just changed the limit; only the direction of the change
	// is used.
	if a.currentLimit < before*latencyTolerance/aimdTolerance {
		a.currentLimit = max(1, before*aimdDecrease)
		return
	}
	a.currentLimit = min(float64(a.options.MaxLimit), before+1)
}
