package supervisor

import (
	"math"
	"time"
)

const (
	// rejectionTimeConstant is the time constant of the share of rejected requests.
	rejectionTimeConstant = time.Second
	// minRejectionSamples is the number of recent requests below which the share is
	// not known.
	minRejectionSamples = 5
)

// rejections holds decaying counts of the requests to an upstream and of those that it
// rejected.
type rejections struct {
	requests, rejected float64
	decayedAt          time.Time
}

func (r *rejections) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.decayedAt)) / float64(rejectionTimeConstant))
	r.requests *= factor
	r.rejected *= factor
	r.decayedAt = now
}

func (r *rejections) add(rejected bool, now time.Time) {
	r.decay(now)
	r.requests++
	if rejected {
		r.rejected++
	}
}

// share returns the share of rejected requests, or zero if there were too few requests.
// The caller may hold a read lock only, so the counts are not changed.
func (r rejections) share(now time.Time) float64 {
	r.decay(now)
	if r.requests < minRejectionSamples {
		return 0
	}
	return r.rejected / r.requests
}
