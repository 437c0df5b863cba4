package limiter

import "time"

const (
	// tick is the time between two looks at the demand.
	tick = 50 * time.Millisecond
	// smoothingArrivals is the number of arrivals over which demand is
	// estimated, within the bounds below.
	smoothingArrivals = 20
	minSmoothing      = 100 * time.Millisecond
	maxSmoothing      = time.Second
	// silentArrivals is the number of arrivals expected of which none came, at
	// which demand is taken to have gone elsewhere.
	silentArrivals = 8
	// drift is the relative change of demand that is reported.
	drift = 0.2
	// minDrift is the smallest reported change of demand in requests per second.
	minDrift = 0.5
	// reportPause is the least time between two reports of changed demand.
	reportPause = 100 * time.Millisecond
	// dryPause is the time for which a holder without tokens is not asked again.
	dryPause = 20 * time.Millisecond
	// retryPause is the time between two tries to reach a holder.
	retryPause = 100 * time.Millisecond
	// borrowTimeout bounds one call to a holder.
	borrowTimeout = time.Second
	// maxWaiters is the number of requests of a workspace that may wait for a
	// token at a node.
	maxWaiters = 256
)

// Options tune a limiter.
type Options struct {
	// Patience is the longest wait for a token.
	Patience time.Duration
}

// Option changes an option.
type Option func(*Options)

// Patience sets the longest wait for a token.
func Patience(d time.Duration) Option {
	return func(o *Options) { o.Patience = d }
}

func newOptions(opts ...Option) Options {
	o := Options{Patience: 250 * time.Millisecond}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
