package gossiper

import "time"

const (
	// inboxLength is the capacity of the queues of datagrams and actions.
	inboxLength = 1024
	// maxUpdateBytes is the maximum total size of the records in a datagram.
	maxUpdateBytes = 1000
	// indirectProbes is the number of nodes that are asked to ping a node that did
	// not answer.
	indirectProbes = 3
	// pushFanout is the number of random nodes that are pinged on an urgent change,
	// such as a new state.
	pushFanout = 4
	// pullsPerTick is the number of failure domains that a watcher queries per
	// interval.
	pullsPerTick = 2
	// reconnectTicks is the number of intervals between pings to failed nodes.
	reconnectTicks = 10
	// leaveRounds is the number of rounds of pings with which a node announces that
	// it leaves.
	leaveRounds = 3
	// replacedRetention is the time for which replaced instances are listed.
	replacedRetention = 5 * time.Minute
	// minSyncInterval is the minimum time between two full table exchanges.
	minSyncInterval = 10 * time.Second
)

// Options are the settings of a Gossiper.
type Options struct {
	// Interval is the probe interval.
	Interval time.Duration
	// Suspicion is the time after which a suspect node is declared failed.
	Suspicion time.Duration
	// FailedRetention is the time for which records of nodes that failed or left
	// are kept.
	FailedRetention time.Duration
}

// Option sets a field of Options.
type Option func(*Options)

// Interval sets the probe interval.
func Interval(d time.Duration) Option {
	return func(o *Options) { o.Interval = d }
}

// Suspicion sets the time after which a suspect node is declared failed.
func Suspicion(d time.Duration) Option {
	return func(o *Options) { o.Suspicion = d }
}

func newOptions(opts ...Option) Options {
	o := Options{Interval: 500 * time.Millisecond, Suspicion: 4 * time.Second, FailedRetention: 2 * time.Hour}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
