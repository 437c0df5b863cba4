package guard

import "time"

const (
	// cut is the share of the completed requests admitted in the next window
	// while the delay is too long.
	cut = 0.95
	// growth is the factor on admitted requests while the delay is short.
	growth = 1.1
	// calmShare is the share of the limit below which nothing is shed.
	calmShare = 0.5
	// fade is the weight of earlier windows in the counts.
	fade = 0.6
	// fall is the largest fall of the level in a window. Requests shed at the
	// entry are not counted here, so how many a lower level admits is not known.
	fall = RanksPerClass / 4
)

// level is the lowest priority admitted, moved once a window by the mean
// queueing delay.
type level struct {
	target time.Duration
	lowest uint32

	started time.Time
	// The counts below are sums over windows that fade.
	arrived   [levels]float64
	admitted  float64
	completed float64

	delay  time.Duration
	delays int
}

func newLevel(o Options, now time.Time) level {
	return level{target: o.TargetDelay, started: now}
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

// left records a request that ended at the upstream.
func (l *level) left() { l.completed++ }

// adjust moves the level if a window has passed. Floor is the latency of the
// upstream: a queue of one service time is needed to keep few slots busy,
// however long that is.
func (l *level) adjust(now time.Time, active, limit, queued int, floor time.Duration) {
	passed := now.Sub(l.started)
	if passed < window {
		return
	}
	switch {
	case l.overloaded(max(l.target, floor)):
		l.set(min(l.admitted, l.completed*cut))
	case queued == 0 && float64(active) < calmShare*float64(limit) && l.delay == 0:
		l.relax(passed)
	default:
		l.set(l.admitted*growth + 1)
	}
	l.started = now
	for p := range l.arrived {
		l.arrived[p] *= fade
	}
	l.admitted *= fade
	l.completed *= fade
	l.delay, l.delays = 0, 0
}

func (l *level) overloaded(target time.Duration) bool {
	return l.delays > 0 && l.delay/time.Duration(l.delays) > target
}

// relax lowers the level by one step for each window that has passed.
func (l *level) relax(passed time.Duration) {
	steps := uint32(min(passed/window, time.Duration(levels)))
	l.lowest -= min(l.lowest, steps*fall)
}

// set picks the level at which about the given number of the counted arrivals
// would have been admitted.
func (l *level) set(wanted float64) {
	lowest := uint32(max(0, int(l.lowest)-fall))
	sum := 0.0
	for p := levels - 1; p >= int(lowest); p-- {
		sum += l.arrived[p]
		if sum > wanted {
			lowest = uint32(min(p+1, levels-1))
			break
		}
	}
	l.lowest = lowest
}
