package guard

import (
	"math"
	"time"
)

// concurrency learns how many requests an upstream serves at once.
type concurrency interface {
	limit() int
	// floor is the latency of an upstream without a queue; zero if not known.
	floor() time.Duration
	// sample takes the latency of a request that entered at a time and ended
	// now, while the given number were active.
	sample(now, entered time.Time, latency time.Duration, active int)
}

const (
	// tolerance is the ratio of latency to its floor that is accepted.
	tolerance = 1.5
	// steepest is the smallest factor by which the limit shrinks in a window.
	steepest = 0.7
	// provenCut is the ratio of limits after which the latency is compared.
	provenCut = 0.7
	// suspicion is the ratio of a latency to the floor learned from it when the
	// upstream got slower; part of the latency may still be a queue.
	suspicion = 1.2
	// floorWindow is the time for which a smallest latency is remembered.
	floorWindow = 10 * time.Second
)

// newConcurrency returns the algorithm selected by the options.
func newConcurrency(o Options) concurrency {
	switch {
	case o.FixedLimit:
		return fixed(o.InitialLimit)
	case o.AIMD:
		return newAdditive(o)
	default:
		return newGradient(o)
	}
}

// fixed never moves the limit.
type fixed int

func (f fixed) limit() int { return int(f) }

func (f fixed) floor() time.Duration { return 0 }

func (f fixed) sample(time.Time, time.Time, time.Duration, int) {}

// gradient moves the limit by the ratio of the smallest latency of late, its
// floor, to the present one.
//
// A latency above the floor can mean that requests queue at the upstream or
// that the upstream got slower. After a cut the two differ: a queue shrinks
// with the limit and the latency with it, while a slower upstream keeps its
// latency. In that case the floor is raised.
type gradient struct {
	options Options
	current float64
	// rising is true until the limit is first lowered.
	rising bool

	started time.Time
	sum     time.Duration
	count   int
	peak    int

	// least and next are the smallest latencies of the last and of the present
	// floor window.
	least   time.Duration
	next    time.Duration
	renewed time.Time

	// cutFrom and cutMean are limit and latency before a series of cuts; zero
	// if none is under way.
	cutFrom float64
	cutMean time.Duration
}

func newGradient(o Options) *gradient {
	return &gradient{options: o, current: float64(o.InitialLimit), rising: true}
}

func (g *gradient) limit() int { return max(1, int(g.current)) }

func (g *gradient) floor() time.Duration { return g.least }

func (g *gradient) sample(now, entered time.Time, latency time.Duration, active int) {
	if g.started.IsZero() {
		g.started, g.renewed = entered, entered
	}
	if entered.Before(g.started) {
		// Its latency shows the limit before the last move.
		return
	}
	g.sum += max(latency, time.Microsecond)
	g.count++
	g.peak = max(g.peak, active)
	if now.Sub(g.started) < window || g.count < minSamples {
		return
	}
	g.move(now, g.sum/time.Duration(g.count))
	g.started, g.sum, g.count, g.peak = now, 0, 0, 0
}

func (g *gradient) move(now time.Time, mean time.Duration) {
	g.learnFloor(now, mean)
	if g.slower(mean) {
		g.cutFrom = 0
		g.least = time.Duration(float64(mean) / suspicion)
		g.next = g.least
	}
	ratio := tolerance * float64(g.least) / float64(mean)
	if ratio >= 1 {
		g.cutFrom = 0
		g.raise()
		return
	}
	g.rising = false
	g.cut(max(ratio, steepest), mean)
}

// slower tells whether the latency did not follow the cuts made so far.
func (g *gradient) slower(mean time.Duration) bool {
	if g.cutFrom == 0 || float64(g.limit()) > provenCut*float64(int(g.cutFrom)) {
		return false
	}
	halfway := (1 + float64(g.limit())/g.cutFrom) / 2
	if float64(mean) > halfway*float64(g.cutMean) {
		return true
	}
	g.cutFrom = 0
	return false
}

// cut lowers the limit and remembers where a series of cuts began.
func (g *gradient) cut(ratio float64, mean time.Duration) {
	if g.cutFrom == 0 {
		g.cutFrom, g.cutMean = g.current, mean
	}
	g.current = max(1, g.current*ratio)
}

func (g *gradient) raise() {
	if g.peak < g.limit()/2 {
		return
	}
	step := math.Sqrt(g.current)
	if g.rising {
		step = g.current
	}
	g.current = min(float64(g.options.MaxLimit), g.current+step)
}

// learnFloor keeps the smallest window mean of the last two floor windows.
func (g *gradient) learnFloor(now time.Time, mean time.Duration) {
	if g.next == 0 || mean < g.next {
		g.next = mean
	}
	if now.Sub(g.renewed) >= floorWindow {
		g.least, g.next, g.renewed = g.next, 0, now
		// A lower limit for a moment shows what the latency is without a queue.
		g.current = max(1, g.current*steepest)
		return
	}
	if g.least == 0 || mean < g.least {
		g.least = mean
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

func (a *additive) sample(now, entered time.Time, latency time.Duration, active int) {
	before := a.current
	count := a.count
	a.gradient.sample(now, entered, latency, active)
	if a.count != 0 || count == 0 {
		return
	}
	// The gradient has just moved; only its direction is kept.
	if a.current < before*tolerance/additiveTolerance {
		a.current = max(1, before*decrease)
		return
	}
	a.current = min(float64(a.options.MaxLimit), before+1)
}
