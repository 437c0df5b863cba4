// Package tracker holds the requests that are active at the upstream beside a
// node, so that calls made by the upstream can be attributed to them.
//
// A request passed to the upstream carries an opaque ticket. A call that the
// upstream makes presents the ticket and inherits workspace, class, rank,
// deadline and the remaining extra attempts (retries) of its parent request.
// Extra attempts are counted for the whole call tree of a request: each call
// receives a part of the remaining attempts of its parent and returns those that
// it did not use, so neither fan-out nor depth multiplies retries.
//
// # Usage
//
//	ticket := t.Open(request)
//	parent, ok := t.Find(ticket)                   // if upstreams propagate tickets
//	match, ok := t.Infer(tracker.CallAttributes{}) // if they don't
//	n := parent.Budget.Delegate()
//	parent.Budget.Restore(unused)
//	t.Close(ticket)
package tracker

import (
	"crypto/rand"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/schema"
)

// Request is an active request.
type Request struct {
	ID string
	// Route is the name of the route of the request, and Service the service that runs it.
	Route     string
	Service   string
	Workspace string
	Class     schema.Class
	Rank      uint32
	Deadline  time.Time
	Depth     uint32
	Budget    *Budget
	Pressure  Pressure
	CallTimer CallTimer
	Calls     Calls
	// InferredCalls counts calls that were attributed to the request by
	// inference and may belong to a similar request instead.
	InferredCalls Calls
	// opened is the time at which the request became active.
	opened time.Time
	// lastCall is the most recent call attributed by inference.
	lastCall atomic.Pointer[lastCall]
}

// Calls counts the calls of a request by route.
type Calls struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts a call on a route.
func (c *Calls) Add(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[route]++
}

// Counts returns a copy of the counts by route.
func (c *Calls) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// count returns the number of calls on a route.
func (c *Calls) count(route string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[route]
}

// Budget is the number of extra attempts that a request may still make.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget of n extra attempts.
func NewBudget(n uint32) *Budget {
	b := &Budget{}
	b.left.Store(int64(n))
	return b
}

// TryConsume uses one extra attempt. It returns false if none is left.
func (b *Budget) TryConsume() bool {
	for {
		left := b.left.Load()
		if left <= 0 {
			return false
		}
		if b.left.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// Delegate removes half of the remaining attempts, rounded up, and returns
// their number, for use by a nested call.
func (b *Budget) Delegate() uint32 {
	for {
		left := b.left.Load()
		if left <= 0 {
			return 0
		}
		part := (left + 1) / 2
		if b.left.CompareAndSwap(left, left-part) {
			return uint32(part)
		}
	}
}

// Restore returns delegated attempts that were not used.
func (b *Budget) Restore(n uint32) { b.left.Add(int64(n)) }

// Drain removes and returns all remaining attempts.
func (b *Budget) Drain() uint32 { return uint32(max(b.left.Swap(0), 0)) }

// Pressure records the highest admission level reported by the calls of a
// request. The level of a service is the lowest priority that it admits.
type Pressure struct {
	level atomic.Uint32
}

// Raise sets the level if it is higher than the recorded one.
func (p *Pressure) Raise(level uint32) {
	for {
		old := p.level.Load()
		if level <= old || p.level.CompareAndSwap(old, level) {
			return
		}
	}
}

// Level returns the highest level recorded.
func (p *Pressure) Level() uint32 { return p.level.Load() }

// CallTimer measures the time during which at least one call is active.
type CallTimer struct {
	mu      sync.Mutex
	active  int
	started time.Time
	ended   time.Time
	total   time.Duration
}

// Begin marks the start of a call.
func (t *CallTimer) Begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == 0 {
		t.started = time.Now()
	}
	t.active++
}

// End marks the end of a call.
func (t *CallTimer) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 {
		t.ended = time.Now()
		t.total += t.ended.Sub(t.started)
	}
}

// concurrent reports whether more than one call is active.
func (t *CallTimer) concurrent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active > 1
}

// idle returns whether no call is active, and when the last one ended.
func (t *CallTimer) idle() (bool, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active == 0, t.ended
}

// Total returns the time measured up to the end of the last active period.
func (t *CallTimer) Total() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// Tracker holds the active requests.
type Tracker struct {
	// Fanout returns the mean number of calls on a route that a request of
	// another route makes, as far as it is known. It may be nil.
	Fanout func(route, call string) float64

	active    sync.Map
	unmatched unmatchedShares
}

// Open adds a request and returns its ticket, a random string that can't be
// guessed.
func (t *Tracker) Open(r *Request) string {
	ticket := rand.Text()
	r.opened = time.Now()
	t.active.Store(ticket, r)
	return ticket
}

// Find returns the active request of a ticket.
func (t *Tracker) Find(ticket string) (*Request, bool) {
	r, ok := t.active.Load(ticket)
	if !ok {
		return nil, false
	}
	return r.(*Request), true
}

// Series returns the number of calls on a route that a request has still to make in turn,
// at least 1, by the mean number that requests of its route make.
func (t *Tracker) Series(r *Request, call string) int {
	if t.Fanout == nil || r.CallTimer.concurrent() {
		return 1
	}
	made := r.Calls.count(call) + r.InferredCalls.count(call)
	return max(1, int(math.Round(t.Fanout(r.Route, call)))-made)
}

// Close removes a request. Its ticket is invalid from then on.
func (t *Tracker) Close(ticket string) { t.active.Delete(ticket) }
