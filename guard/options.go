package guard

import "time"

const (
	// minQueue is the least number of requests that may wait.
	minQueue = 16
	// queueRatio is the ratio of the queue's limit to the concurrency limit.
	queueRatio = 2
	// window is the time over which delays and latencies are gathered.
	window = 100 * time.Millisecond
	// minSamples is the least number of latencies by which the limit moves.
	minSamples = 8
	// patienceShare is the part of its objective that a request may wait:
	// what waits longer has too little left for the upstream's own time.
	patienceShare = 2
	// latencyWeight is the weight of one more request in the mean latency.
	latencyWeight = 0.1
	// busyMemory is the time constant of the mean number of requests.
	busyMemory = 250 * time.Millisecond
)

// Options tune a guard.
type Options struct {
	// InitialLimit is the concurrency limit at first.
	InitialLimit int
	// MaxLimit is the largest concurrency limit.
	MaxLimit int
	// TargetDelay is the mean queueing delay above which the level rises.
	TargetDelay time.Duration
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
	// FixedLimit keeps the limit at its start.
	FixedLimit bool
	// AIMD selects additive increase with multiplicative decrease.
	AIMD bool
	// QueueBelowLevel lets requests below the level wait all the same.
	QueueBelowLevel bool
}

// Option changes an option.
type Option func(*Options)

// InitialLimit sets the concurrency limit at first.
func InitialLimit(n int) Option {
	return func(o *Options) { o.InitialLimit = n }
}

// MaxLimit sets the largest concurrency limit.
func MaxLimit(n int) Option {
	return func(o *Options) { o.MaxLimit = n }
}

// TargetDelay sets the mean queueing delay above which requests are shed.
func TargetDelay(d time.Duration) Option {
	return func(o *Options) {
		o.TargetDelay = d
		o.MaxWait = patienceRatio * d
	}
}

// FixedLimit keeps the concurrency limit at its start.
func FixedLimit() Option {
	return func(o *Options) { o.FixedLimit = true }
}

// QueueBelowLevel lets requests below the level wait: they were admitted for the whole
// of their way elsewhere, and calls turned away here waste what was done for
// them before.
func QueueBelowLevel() Option {
	return func(o *Options) { o.QueueBelowLevel = true }
}

// patienceRatio is the ratio of the longest to the mean accepted delay.
const patienceRatio = 10

// AIMD selects additive increase with multiplicative decrease in place of
// the gradient of latency.
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
