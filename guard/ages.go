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
	// become faster, and forgetHalfLife the half-life of its latency from then on. It
	// receives requests again only once it is not thought to be slow.
	forgetDelay    = time.Second
	forgetHalfLife = time.Second
)

// ages holds the ages of the active requests. Requests at an upstream that has become slow
// end late, and those at one that hangs never end, so that the latencies of the requests
// that have ended show neither for a long time.
type ages struct {
	active int
	// startSum is the sum of the start times of the active requests, since epoch.
	startSum time.Duration
	epoch    time.Time
	// idleSince is the time of the last change to no active request.
	idleSince time.Time
}

func (a *ages) start(now time.Time) {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	a.active++
	a.startSum += now.Sub(a.epoch)
}

func (a *ages) end(now, started time.Time) {
	a.active--
	a.startSum -= started.Sub(a.epoch)
	if a.active == 0 {
		a.idleSince = now
	}
}

// latency returns an estimate of the latency of requests that start now, given the mean of
// those that have ended.
func (a *ages) latency(now time.Time, mean time.Duration) time.Duration {
	if mean == 0 {
		return 0
	}
	if a.active == 0 {
		idle := max(now.Sub(a.idleSince)-forgetDelay, 0)
		return time.Duration(float64(mean) * math.Exp2(-float64(idle)/float64(forgetHalfLife)))
	}
	sum := now.Sub(a.epoch)*time.Duration(a.active) - a.startSum
	assumed := time.Duration(ageWeight * float64(mean) / ageToLatency)
	age := (sum + assumed) / time.Duration(a.active+ageWeight)
	return max(mean, time.Duration(ageToLatency*float64(age)))
}
