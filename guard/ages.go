package guard

import (
	"math"
	"time"
)

const (
	// ageToLatency is the ratio of the mean latency to the mean age of the active
	// requests of an upstream that stays as fast as it is, where latencies vary by
	// about half of their mean.
	ageToLatency = 1.6
	// ageWeight is the number of active requests of average age that are assumed in
	// addition, since the mean age of a few says little.
	ageWeight = 3
	// forgetDelay is the time without active requests after which an upstream may have
	// become faster, and forgetHalfLife the half-life of its pace from then on, down to
	// forgottenPace. A slow upstream then receives single requests, which show whether it
	// still is, and not at once as many as one that is known to be fast.
	forgetDelay    = time.Second
	forgetHalfLife = time.Second
	forgottenPace  = 2.5
)

// ages holds the ages of the active requests, as ratios to the times expected. Requests at
// an upstream that has become slow end late, and those at one that hangs never end, so
// that the requests that have ended show neither for a long time.
type ages struct {
	active int
	// weights is the sum of the reciprocals of the expected times of the active requests,
	// per second, and weightedStarts that of their start times in seconds since epoch,
	// multiplied by these reciprocals.
	weights, weightedStarts float64
	epoch                   time.Time
	// idleSince is the time of the last change to no active request.
	idleSince time.Time
}

func (a *ages) start(now time.Time, expected time.Duration) {
	if expected <= 0 {
		return
	}
	if a.epoch.IsZero() {
		a.epoch = now
	}
	a.active++
	a.weights += 1 / expected.Seconds()
	a.weightedStarts += now.Sub(a.epoch).Seconds() / expected.Seconds()
}

func (a *ages) end(now, started time.Time, expected time.Duration) {
	if expected <= 0 {
		return
	}
	a.active--
	a.weights -= 1 / expected.Seconds()
	a.weightedStarts -= started.Sub(a.epoch).Seconds() / expected.Seconds()
	if a.active == 0 {
		a.weights, a.weightedStarts, a.idleSince = 0, 0, now
	}
}

// slowdown returns the factor by which requests that start now are estimated to take longer
// than those that have ended, whose mean pace is given.
func (a *ages) slowdown(now time.Time, pace float64) float64 {
	if pace <= 0 {
		return 1
	}
	if a.active == 0 {
		idle := max(now.Sub(a.idleSince)-forgetDelay, 0)
		return max(math.Exp2(-float64(idle)/float64(forgetHalfLife)), min(1, forgottenPace/pace))
	}
	sum := now.Sub(a.epoch).Seconds()*a.weights - a.weightedStarts
	age := (sum + ageWeight*pace/ageToLatency) / float64(a.active+ageWeight)
	return max(1, ageToLatency*age/pace)
}
