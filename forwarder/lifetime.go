package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// minRunDivisor bounds the time that a request needs to a fraction of the time from the
// begin of a stop to its end, 1/4, so that a node that stops quickly still serves some.
const minRunDivisor = 4

// Requests that may outlast the node are taken until longRequestRatio of the time from the
// begin of a stop to its end, but for longRequestTime at most. Later ones are refused unless
// their deadline comes before the end: a refused caller can go to another node, while a
// request that is broken off may have run.
const (
	longRequestRatio = 0.6
	longRequestTime  = 2500 * time.Millisecond
)

// Lifetime limits requests to the time for which a node serves them. The zero value, like
// nil, sets no limit.
type Lifetime struct {
	stop atomic.Pointer[plannedStop]
}

// plannedStop is the time from which a node stops, and by which it answers all requests.
type plannedStop struct {
	begin, end time.Time
}

// Stop records that the node stops and answers all requests until end.
func (l *Lifetime) Stop(end time.Time) { l.stop.Store(&plannedStop{time.Now(), end}) }

// Limit returns the deadline of a request, which is not later than the end of the node. It
// returns false if the request can't be expected to end before, given its latency
// objective, or if it comes late in the stop and may not end before.
func (l *Lifetime) Limit(deadline time.Time, objective time.Duration) (time.Time, bool) {
	if l == nil {
		return deadline, true
	}
	stop := l.stop.Load()
	if stop == nil || !stop.end.Before(deadline) {
		return deadline, true
	}
	duration, elapsed := stop.end.Sub(stop.begin), time.Since(stop.begin)
	if elapsed > min(time.Duration(longRequestRatio*float64(duration)), longRequestTime) {
		return stop.end, false
	}
	left := duration - elapsed
	return stop.end, left > 0 && left >= min(objective, duration/minRunDivisor)
}

// answerContext returns a context for sending a request and reading its answer. It ends with
// ctx, whose deadline may be earlier than that of the answer because the node stops. Once the
// function answered is called, which tells that the answer has begun, only the deadline of the
// answer ends it, or the end of ctx for another reason.
func answerContext(ctx context.Context, deadline, answerDeadline time.Time) (answer context.Context, answered func(), end context.CancelFunc) {
	if !deadline.Before(answerDeadline) {
		answer, end = context.WithCancel(ctx)
		return answer, func() {}, end
	}
	var begun atomic.Bool
	answer, cancel := context.WithDeadline(context.WithoutCancel(ctx), answerDeadline)
	stop := context.AfterFunc(ctx, func() {
		if !begun.Load() || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})
	return answer, func() { begun.Store(true) }, func() {
		stop()
		cancel()
	}
}
