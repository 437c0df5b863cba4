package tracker

import (
	"sync"
	"time"
)

const (
	// deadlineTolerance is the largest difference between the deadline of a
	// call and that of its parent request. Deadlines are transmitted in whole
	// milliseconds, and the call takes some time to arrive. Among 25 active
	// requests with one second left, one in eight is within the tolerance by
	// chance.
	deadlineTolerance = 3 * time.Millisecond
	// connectionReuseWindow is the time within which the next call of a
	// request follows on the connection of the previous call. Under light load
	// 99% follow within 4 ms.
	connectionReuseWindow = 20 * time.Millisecond
	// minFanout is the mean number of calls below which a route is not
	// considered to make such calls, because a few calls are attributed to the
	// wrong request.
	minFanout = 0.3
	// maxUnmatchedShare is the largest share of requests on a route that match
	// no active request. Above it, requests of the route are treated as those
	// of external callers unless a deadline or connection matches. Nested calls
	// always have an active parent, except for those already in flight when the
	// node started.
	maxUnmatchedShare = 0.3
	// unmatchedWeight is the weight of a new request in the moving average of
	// that share.
	unmatchedWeight = 0.1
)

// CallAttributes are the attributes of a call from which its parent request is
// inferred where upstreams do not propagate tickets.
type CallAttributes struct {
	Route string
	// Deadline is that of the parent request, or an earlier one set for the
	// call.
	Deadline time.Time
	// Connection identifies the connection on which the call arrived.
	// Upstreams reuse a connection for the next call of the same request.
	Connection string
}

// Match is the request for which a call was probably made.
type Match struct {
	Request *Request
	// Certain is false if several requests match about equally well.
	Certain bool
}

// lastCall describes the last call attributed to a request by inference.
type lastCall struct {
	connection string
	certain    bool
}

// matchQuality ranks how well a request matches the attributes of a call.
// Higher values match better.
type matchQuality int

const (
	noMatch matchQuality = iota
	// unlikelyRoute means that the route of the request is not known to make
	// such calls.
	unlikelyRoute
	// betweenCalls means that the request has made calls and none is active.
	betweenCalls
	// noCallYet means that the request has made no call yet.
	noCallYet
	sameDeadline
	sameConnection
)

// Infer returns the active request for which a call was probably made. In order
// of preference this is the one whose last call has just ended on the same
// connection, the one with the same deadline, or the oldest that has made no call
// yet. Requests between two calls and those of unlikely routes come last.
func (t *Tracker) Infer(c CallAttributes) (Match, bool) {
	var (
		best         *Request
		bestQuality  matchQuality
		bestDistance time.Duration
	)
	now := time.Now()
	t.active.Range(func(_, value any) bool {
		r := value.(*Request)
		quality, distance := t.evaluateMatch(r, c, now)
		if quality > bestQuality || quality == bestQuality && quality != noMatch && distance < bestDistance {
			best, bestQuality, bestDistance = r, quality, distance
		}
		return true
	})
	unmatchedShare := t.unmatched.update(c.Route, best == nil)
	if best == nil || bestQuality < sameDeadline && unmatchedShare > maxUnmatchedShare {
		return Match{}, false
	}
	match := Match{best, bestQuality == sameDeadline}
	if last := best.lastCall.Load(); bestQuality == sameConnection && last != nil {
		match.Certain = last.certain
	}
	best.lastCall.Store(&lastCall{c.Connection, match.Certain})
	return match, true
}

// evaluateMatch returns how well a request matches a call. Of two requests with
// the same quality, the one with the smaller distance matches better. Where only
// the age counts, the distance is the negated age, so that the oldest is preferred.
func (t *Tracker) evaluateMatch(r *Request, c CallAttributes, now time.Time) (matchQuality, time.Duration) {
	excess := r.Deadline.Sub(c.Deadline)
	if excess < -deadlineTolerance {
		return noMatch, 0
	}
	last := r.lastCall.Load()
	idle, ended := r.CallTimer.idle()
	switch {
	case idle && last != nil && last.connection == c.Connection && now.Sub(ended) < connectionReuseWindow:
		return sameConnection, now.Sub(ended)
	case excess <= deadlineTolerance:
		return sameDeadline, excess.Abs()
	case !idle:
		return noMatch, 0
	case t.Fanout != nil && t.Fanout(r.Route, c.Route) < minFanout:
		return unlikelyRoute, r.opened.Sub(now)
	case last != nil:
		return betweenCalls, now.Sub(ended)
	default:
		return noCallYet, r.opened.Sub(now)
	}
}

// unmatchedShares holds, by route, the moving average of the share of requests
// that matched no active request.
type unmatchedShares struct {
	mu     sync.Mutex
	shares map[string]float64
}

// update adds one request to the average of its route and returns the new share.
func (u *unmatchedShares) update(route string, unmatched bool) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	share := u.shares[route] * (1 - unmatchedWeight)
	if unmatched {
		share += unmatchedWeight
	}
	if u.shares == nil {
		u.shares = map[string]float64{}
	}
	u.shares[route] = share
	return share
}
