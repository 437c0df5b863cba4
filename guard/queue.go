package guard

import (
	"time"
)

// waiter is a request in the queue.
type waiter struct {
	request  Request
	priority uint32
	queued   time.Time
	// done receives true on admission and false on eviction.
	done chan bool
}

// lane holds the waiting requests of one workspace in one class.
type lane struct {
	workspace string
	waiters   []*waiter
	// served is the virtual time of the workspace: the number of requests
	// admitted, started from that of the others.
	served float64
}

// queue orders waiting requests by class, then by fairness among workspaces,
// then by arrival.
type queue struct {
	length  int
	classes [NumClasses]classQueue
}

type classQueue struct {
	lanes map[string]*lane
	// clock is the virtual time of the workspace served last.
	clock float64
}

func newQueue() queue {
	var q queue
	for i := range q.classes {
		q.classes[i].lanes = map[string]*lane{}
	}
	return q
}

// push adds a waiter. If the queue is over its limit, the least important
// waiter, which may be the new one, is removed and returned.
func (q *queue) push(w *waiter, limit int) *waiter {
	c := &q.classes[min(w.request.Class, NumClasses-1)]
	l := c.lanes[w.request.Workspace]
	if l == nil {
		l = &lane{workspace: w.request.Workspace, served: c.clock}
		c.lanes[w.request.Workspace] = l
	}
	l.waiters = append(l.waiters, w)
	q.length++
	if q.length <= limit {
		return nil
	}
	return q.evict()
}

// evict removes the latest waiter of the workspace that has most waiting in
// the lowest class.
func (q *queue) evict() *waiter {
	for i := range q.classes {
		var longest *lane
		for _, l := range q.classes[i].lanes {
			if longest == nil || len(l.waiters) > len(longest.waiters) {
				longest = l
			}
		}
		if longest == nil {
			continue
		}
		w := longest.waiters[len(longest.waiters)-1]
		q.remove(w)
		return w
	}
	return nil
}

// pop removes and returns the waiter to be admitted next.
func (q *queue) pop() *waiter {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		var next *lane
		for _, l := range c.lanes {
			if next == nil || l.served < next.served {
				next = l
			}
		}
		if next == nil {
			continue
		}
		w := next.waiters[0]
		next.served++
		c.clock = next.served
		q.remove(w)
		return w
	}
	return nil
}

// remove takes a waiter out and tells whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	c := &q.classes[min(w.request.Class, NumClasses-1)]
	l := c.lanes[w.request.Workspace]
	if l == nil {
		return false
	}
	for i, other := range l.waiters {
		if other != w {
			continue
		}
		l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
		q.length--
		if len(l.waiters) == 0 {
			delete(c.lanes, w.request.Workspace)
		}
		return true
	}
	return false
}
