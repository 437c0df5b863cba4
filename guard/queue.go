package guard

import (
	"time"
)

// waiter is a queued request.
type waiter struct {
	request  Request
	priority uint32
	queuedAt time.Time
	// cold is true if the upstream was cold when the request was queued.
	cold bool
	// admittedAt is set before true is sent to decision.
	admittedAt time.Time
	// decision receives true on admission and false on eviction or Close.
	decision chan bool
}

// workspaceQueue holds the queued requests of one workspace in one class.
type workspaceQueue struct {
	workspace string
	waiters   []*waiter
	// virtualTime is the number of admitted requests, added to the
	// lastVirtualTime of the class when the queue was created.
	virtualTime float64
}

// queue orders requests by class, then by fair queueing among workspaces, then
// by arrival.
type queue struct {
	length  int
	classes [NumClasses]classQueue
}

type classQueue struct {
	workspaces map[string]*workspaceQueue
	// lastVirtualTime is the virtual time of the last workspace from which a
	// request was admitted.
	lastVirtualTime float64
}

func newQueue() queue {
	var q queue
	for i := range q.classes {
		q.classes[i].workspaces = map[string]*workspaceQueue{}
	}
	return q
}

// push adds a waiter. If the queue then exceeds its limit, it removes and
// returns a waiter of the lowest class, which may be the new one.
func (q *queue) push(w *waiter, limit int) *waiter {
	c := &q.classes[min(w.request.Class, NumClasses-1)]
	wq := c.workspaces[w.request.Workspace]
	if wq == nil {
		wq = &workspaceQueue{workspace: w.request.Workspace, virtualTime: c.lastVirtualTime}
		c.workspaces[w.request.Workspace] = wq
	}
	wq.waiters = append(wq.waiters, w)
	q.length++
	if q.length <= limit {
		return nil
	}
	return q.evict()
}

// evict removes and returns the last waiter of the workspace with the longest
// queue in the lowest class that has waiters.
func (q *queue) evict() *waiter {
	for i := range q.classes {
		var longest *workspaceQueue
		for _, wq := range q.classes[i].workspaces {
			if longest == nil || len(wq.waiters) > len(longest.waiters) {
				longest = wq
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

// pop removes and returns the next waiter to admit, or nil if there is none.
func (q *queue) pop() *waiter {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		var next *workspaceQueue
		for _, wq := range c.workspaces {
			if next == nil || wq.virtualTime < next.virtualTime {
				next = wq
			}
		}
		if next == nil {
			continue
		}
		w := next.waiters[0]
		next.virtualTime++
		c.lastVirtualTime = next.virtualTime
		q.remove(w)
		return w
	}
	return nil
}

// remove removes a waiter and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	c := &q.classes[min(w.request.Class, NumClasses-1)]
	wq := c.workspaces[w.request.Workspace]
	if wq == nil {
		return false
	}
	for i, other := range wq.waiters {
		if other != w {
			continue
		}
		wq.waiters = append(wq.waiters[:i:i], wq.waiters[i+1:]...)
		q.length--
		if len(wq.waiters) == 0 {
			delete(c.workspaces, w.request.Workspace)
		}
		return true
	}
	return false
}
