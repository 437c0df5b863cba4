package guard

import "time"

const (
	// cut is the share of admitted requests kept when the delay is too long.
	cut = 0.9
	// growth is the factor on admitted requests when the delay is short.
	growth = 1.1
	// calmShare is the share of the limit below which nothing is shed.
	calmShare = 0.5
)

// level is the lowest priority admitted, moved once a window by the mean
// queueing delay.
type level struct {
	target time.Duration
	lowest uint32

	started  time.Time
	arrived  [levels]int
	admitted int
	delay    time.Duration
	delays   int
}

func newLevel(o Options, now time.Time) level {
	return level{target: o.Delay, started: now}
}

// admits records an arrival and tells whether its priority suffices.
func (l *level) admits(priority uint32) bool {
	l.arrived[min(int(priority), levels-1)]++
	if priority < l.lowest {
		return false
	}
	l.admitted++
	return true
}

// delayed records the queueing delay of a request.
func (l *level) delayed(d time.Duration) {
	l.delay += d
	l.delays++
}

// adjust moves the level if a window has passed.
func (l *level) adjust(now time.Time, active, limit, queued int) {
	passed := now.Sub(l.started)
	if passed < window {
		return
	}
	switch {
	case l.overloaded():
		l.set(int(float64(l.admitted) * cut))
	case queued == 0 && float64(active) < calmShare*float64(limit) && l.delay == 0:
		l.relax(passed)
	default:
		l.set(int(float64(l.admitted)*growth) + 1)
	}
	l.started = now
	l.arrived = [levels]int{}
	l.admitted, l.delay, l.delays = 0, 0, 0
}

func (l *level) overloaded() bool {
	return l.delays > 0 && l.delay/time.Duration(l.delays) > l.target
}

// relax lowers the level by a fixed step for each window that has passed.
func (l *level) relax(passed time.Duration) {
	steps := uint32(min(passed/window, time.Duration(levels)))
	l.lowest -= min(l.lowest, steps*RankLimit/8)
}

// set picks the level at which about the given number of the arrivals of the
// last window would have been admitted.
func (l *level) set(wanted int) {
	sum := 0
	for p := levels - 1; p >= 0; p-- {
		sum += l.arrived[p]
		if sum > wanted {
			l.lowest = uint32(min(p+1, levels-1))
			return
		}
	}
	l.lowest = 0
}
