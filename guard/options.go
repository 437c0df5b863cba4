package guard

import "time"

const (
	// minQueueLimit is the smallest limit of the queue, in requests.
	minQueueLimit = 16
	// queueLimitRatio is the ratio of the queue's limit to the concurrency
	// limit.
	queueLimitRatio = 2
	// measurementWindow is the period over which delays and latencies are
	// averaged.
	measurementWindow = 100 * time.Millisecond
	// minSamples is the number of latencies that are needed to change the
	// concurrency limit.
	minSamples = 8
	// objectiveWaitDivisor divides the latency objective of a request to get its
	// longest time in the queue. After it the request goes to another upstream, for
	// which enough time must be left.
	objectiveWaitDivisor = 4
	// latencyWeight is the weight of a new sample in the mean latency.
	latencyWeight = 0.1
	// paceWeight is the weight of a request in the mean pace. Requests that become slow
	// show sooner, by their age.
	paceWeight = 0.05
	// recoveryWeight is the weight of a request that took less than half of the time
	// that its upstream was thought to need, while its pace is above slowPace.
	recoveryWeight = 0.3
	slowPace       = 1.5
	// meanLoadTimeConstant is the time constant of the exponential moving average
	// of the number of requests.
	meanLoadTimeConstant = 250 * time.Millisecond
)

// Options configure a guard.
type Options struct {
	// InitialLimit is the concurrency limit at the start.
	InitialLimit int
	// MaxLimit is the largest concurrency limit of an adaptive limiter.
	MaxLimit int
	// TargetDelay is the mean queueing delay above which the level rises, so
	// that more requests are shed.
	TargetDelay time.Duration
	// MaxWait is the longest time in the queue for requests without a latency
	// objective.
	MaxWait time.Duration
	// FixedLimit keeps the concurrency limit at InitialLimit.
	FixedLimit bool
	// AIMD selects additive increase with multiplicative decrease in place of
	// the latency gradient.
	AIMD bool
	// QueueBelowLevel queues requests below the level instead of rejecting them.
	QueueBelowLevel bool
}

// Option sets one of the Options.
type Option func(*Options)

// InitialLimit sets the concurrency limit at the start.
func InitialLimit(n int) Option {
	return func(o *Options) { o.InitialLimit = n }
}

// MaxLimit sets the largest concurrency limit.
func MaxLimit(n int) Option {
	return func(o *Options) { o.MaxLimit = n }
}

// TargetDelay sets the mean queueing delay above which more requests are shed,
// and MaxWait to maxWaitRatio times that.
func TargetDelay(d time.Duration) Option {
	return func(o *Options) {
		o.TargetDelay = d
		o.MaxWait = maxWaitRatio * d
	}
}

// FixedLimit keeps the concurrency limit at InitialLimit.
func FixedLimit() Option {
	return func(o *Options) { o.FixedLimit = true }
}

// QueueBelowLevel queues requests below the level instead of rejecting them. It
// is meant for fleets where the entry node admits a request for all its calls:
// rejecting one of the calls later would waste the work already done.
func QueueBelowLevel() Option {
	return func(o *Options) { o.QueueBelowLevel = true }
}

// maxWaitRatio is the ratio of MaxWait to TargetDelay.
const maxWaitRatio = 10

// AIMD selects additive increase with multiplicative decrease in place of the
// latency gradient.
func AIMD() Option {
	return func(o *Options) { o.AIMD = true }
}

func newOptions(opts ...Option) Options {
	o := Options{InitialLimit: 8, MaxLimit: 1000}
	TargetDelay(20 * time.Millisecond)(&o)
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
