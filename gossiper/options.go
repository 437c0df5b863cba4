package gossiper

import "time"

const (
	// inboxLength is the number of datagrams that may wait.
	inboxLength = 1024
	// packetLimit is the largest length of the records in a datagram in bytes.
	packetLimit = 1000
	// relays is the number of nodes asked to ping one that did not answer.
	relays = 3
	// pushes is the number of random nodes told of a new state.
	pushes = 4
	// pullsPerTick is the number of domains that a watcher asks at each interval.
	pullsPerTick = 2
	// reconnectTicks is the number of intervals between pings to lost nodes.
	reconnectTicks = 10
	// leavePackets is the number of rounds in which a leaving node says so.
	leavePackets = 3
	// replacedMemory is the time for which earlier starts of nodes are listed.
	replacedMemory = 5 * time.Minute
	// syncPause is the least time between two exchanges of whole tables.
	syncPause = 10 * time.Second
)

// Options tune a gossiper.
type Options struct {
	// Interval is the time between two probes.
	Interval time.Duration
	// Suspicion is the time after which a suspect node is declared failed.
	Suspicion time.Duration
	// FailedRetention is the time for which lost nodes are remembered.
	FailedRetention time.Duration
}

// Option changes an option.
type Option func(*Options)

// Interval sets the time between two probes.
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
