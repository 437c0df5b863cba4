package guard

import (
	"math"
	"time"
)

// concurrency learns how many requests an upstream serves at once.
type concurrency interface {
	limit() int
	// sample takes the latency of a request that ended while the given number
	// were active.
	sample(now time.Time, latency time.Duration, active int, ok bool)
}

const (
	// tolerance is the ratio of latency to its floor that is accepted.
	tolerance = 1.5
	// steepest is the smallest factor by which the limit shrinks in a window.
	steepest = 0.7
	// floorWindow is the time for which a smallest latency is remembered.
	floorWindow = 10 * time.Second
)

// newConcurrency returns the algorithm selected by the options.
func newConcurrency(o Options) concurrency {
	switch {
	case o.Fixed:
		return fixed(o.Start)
	case o.Additive:
		return newAdditive(o)
	default:
		return newGradient(o)
	}
}

// fixed never moves the limit.
type fixed int

func (f fixed) limit() int { return int(f) }

func (f fixed) sample(time.Time, time.Duration, int, bool) {}

// gradient moves the limit by the ratio of the smallest latency of late to the
// present one.
type gradient struct {
	options Options
	current float64
	// rising is true until the limit is first lowered.
	rising bool

	started time.Time
	sum     time.Duration
	least   time.Duration
	count   int
	peak    int

	// floor and next are the smallest latencies of the last and of the present
	// floor window.
	floor   time.Duration
	next    time.Duration
	renewed time.Time
}

func newGradient(o Options) *gradient {
	return &gradient{options: o, current: float64(o.Start), rising: true}
}

func (g *gradient) limit() int { return max(1, int(g.current)) }

func (g *gradient) sample(now time.Time, latency time.Duration, active int, _ bool) {
	if g.started.IsZero() {
		g.started, g.renewed = now, now
	}
	latency = max(latency, time.Microsecond)
	g.sum += latency
	g.count++
	g.peak = max(g.peak, active)
	if g.least == 0 || latency < g.least {
		g.least = latency
	}
	if now.Sub(g.started) < window || g.count < minSamples {
		return
	}
	g.move(now)
	g.started, g.sum, g.count, g.peak, g.least = now, 0, 0, 0, 0
}

func (g *gradient) move(now time.Time) {
	mean := g.sum / time.Duration(g.count)
	g.learnFloor(now, mean)
	ratio := tolerance * float64(g.floor) / float64(mean)
	if ratio >= 1 {
		g.raise()
		return
	}
	g.rising = false
	g.current = max(1, g.current*max(ratio, steepest))
}

func (g *gradient) raise() {
	if g.peak < g.limit()/2 {
		return
	}
	step := math.Sqrt(g.current)
	if g.rising {
		step = g.current
	}
	g.current = min(float64(g.options.Max), g.current+step)
}

// learnFloor keeps the smallest window mean of the last two floor windows.
func (g *gradient) learnFloor(now time.Time, mean time.Duration) {
	if g.next == 0 || mean < g.next {
		g.next = mean
	}
	if now.Sub(g.renewed) >= floorWindow {
		g.floor, g.next, g.renewed = g.next, 0, now
		// A lower limit for a moment shows what the latency is without a queue.
		g.current = max(1, g.current*steepest)
		return
	}
	if g.floor == 0 || mean < g.floor {
		g.floor = mean
	}
}

const (
	// additiveTolerance is the ratio of latency to its floor that counts as
	// overload.
	additiveTolerance = 2.0
	// decrease is the factor applied to the limit on overload.
	decrease = 0.85
)

// additive raises the limit by one a window and cuts it on overload.
type additive struct {
	gradient
}

func newAdditive(o Options) *additive { return &additive{*newGradient(o)} }

func (a *additive) sample(now time.Time, latency time.Duration, active int, ok bool) {
	before := a.current
	count := a.count
	a.gradient.sample(now, latency, active, ok)
	if a.count != 0 || count == 0 {
		return
	}
	// The gradient has just moved; only its direction is kept.
	if a.current < before*tolerance/additiveTolerance {
		a.current = max(1, before*decrease)
		return
	}
	a.current = min(float64(a.options.Max), before+1)
}
