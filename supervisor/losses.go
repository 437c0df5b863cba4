package supervisor

import "time"

// lossWindow is the time within which an upstream that starts anew loses all its
// connections.
const lossWindow = 500 * time.Millisecond

// losses tells an upstream that has started anew from one that loses single answers: the
// first loses all requests that were active, and answers none of them later.
type losses struct {
	// since is the time of the first of the losses that are counted.
	since time.Time
	// active is the number of requests that were active then, and lost counts those lost.
	active, lost int
}

// add records a request whose connection was lost, one of those that are active. It reports
// whether all that were active at the first loss have been lost.
func (l *losses) add(now time.Time, active int) bool {
	if l.since.IsZero() || now.Sub(l.since) > lossWindow {
		*l = losses{since: now, active: active}
	}
	l.lost++
	if l.lost < l.active {
		return false
	}
	*l = losses{}
	return true
}

// answered records an answer to a request that was sent at the given time.
func (l *losses) answered(sent time.Time) {
	if !sent.IsZero() && sent.Before(l.since) {
		*l = losses{}
	}
}

// activeRequests returns the number of requests at the upstream. The caller holds the lock.
func (s *Supervisor) activeRequests() int {
	if s.guard == nil {
		return 0
	}
	return s.guard.Status().Active
}

// IdleLost records that all idle connections to the upstream were closed soon after their
// use. While requests are active and get answers, their fate tells whether it has started
// anew.
func (s *Supervisor) IdleLost() {
	s.mu.Lock()
	// The request that has found the connections closed is active itself.
	if s.activeRequests() <= 1 || time.Since(s.warmth.heardAt) > lossWindow {
		s.suspectCold("idle connections lost")
	}
	s.mu.Unlock()
	s.wake()
}
