package limiter

import "time"

const (
	// demandInterval is the time between two updates of the demand estimate.
	demandInterval = 50 * time.Millisecond
	// smoothingArrivals is the number of arrivals over which demand is averaged.
	// The time constant that results is bounded by minSmoothing and maxSmoothing.
	smoothingArrivals = 20
	minSmoothing      = 100 * time.Millisecond
	maxSmoothing      = time.Second
	// maxMissedArrivals is the number of expected arrivals without an actual one
	// after which demand is assumed to have moved to another node.
	maxMissedArrivals = 8
	// demandChangeRatio is the relative change of demand that triggers a report.
	demandChangeRatio = 0.2
	// minDemandChange is the smallest change of demand that triggers a report, in
	// requests per second.
	minDemandChange = 0.5
	// demandReportInterval is the minimum time between two reports of changed
	// demand.
	demandReportInterval = 100 * time.Millisecond
	// emptyPoolInterval is the time for which no tokens are requested from a
	// holder whose pool was empty.
	emptyPoolInterval = 20 * time.Millisecond
	// retryInterval is the time between two attempts to reach a holder.
	retryInterval = 100 * time.Millisecond
	// borrowTimeout is the timeout of one call to a holder.
	borrowTimeout = time.Second
	// maxWaiters is the maximum number of requests of one workspace that wait for
	// a token at this node.
	maxWaiters = 256
)

// Options configures a limiter.
type Options struct {
	// MaxWait is the maximum time a request waits for a token.
	MaxWait time.Duration
}

// Option sets a field of Options.
type Option func(*Options)

// MaxWait sets Options.MaxWait.
func MaxWait(d time.Duration) Option {
	return func(o *Options) { o.MaxWait = d }
}

func newOptions(opts ...Option) Options {
	o := Options{MaxWait: 250 * time.Millisecond}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
