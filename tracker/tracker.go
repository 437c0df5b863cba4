// Package tracker keeps the requests that are active at the upstream beside a
// node, so that the calls it makes stay part of them.
//
// A request handed to the upstream carries an opaque ticket. A call that the
// upstream makes presents the ticket and inherits workspace, class, rank,
// deadline and the extra attempts left. Attempts are counted for the whole
// call tree of a request: each call takes a part of what its parent has left
// and gives back what it did not use, so no fan-out or depth multiplies them.
//
// # Usage
//
//	ticket := t.Open(request)
//	parent, ok := t.Find(ticket)          // where upstreams hand tickets on
//	match, ok := t.Infer(tracker.CallAttributes{})  // where they don't
//	n := parent.Budget.Delegate()
//	parent.Budget.Restore(unused)
//	t.Close(ticket)
package tracker

import (
	"crypto/rand"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/schema"
)

// Request is an active request.
type Request struct {
	ID string
	// Route names the route of the request.
	Route     string
	Workspace string
	Class     schema.Class
	Rank      uint32
	Deadline  time.Time
	Depth     uint32
	Budget    *Budget
	Pressure  Pressure
	CallTimer CallTimer
	Calls     Calls
	// InferredCalls are calls that were probably made for the request, or for one
	// like it.
	InferredCalls Calls
	// opened is the time at which the request became active.
	opened time.Time
	// trail is that of the last call.
	trail atomic.Pointer[trail]
}

// Calls counts the calls of a request by route.
type Calls struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts a call.
func (c *Calls) Add(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[route]++
}

// Counts returns the calls so far.
func (c *Calls) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
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

// TryConsume uses one extra attempt and tells whether there was one.
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

// Delegate takes out half of what is left, rounded up, for the calls below.
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

// Restore gives back attempts that were delegated and not used.
func (b *Budget) Restore(n uint32) { b.left.Add(int64(n)) }

// Drain returns what is left and leaves nothing.
func (b *Budget) Drain() uint32 { return uint32(max(b.left.Swap(0), 0)) }

// Pressure is the highest level seen in the calls of a request.
type Pressure struct {
	level atomic.Uint32
}

// Raise records a level.
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

// CallTimer measures the time during which at least one call was under way.
type CallTimer struct {
	mu      sync.Mutex
	active  int
	started time.Time
	ended   time.Time
	total   time.Duration
}

// Begin marks the start of a call.
func (s *CallTimer) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == 0 {
		s.started = time.Now()
	}
	s.active++
}

// End marks the end of a call.
func (s *CallTimer) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 {
		s.ended = time.Now()
		s.total += s.ended.Sub(s.started)
	}
}

// idle tells whether no call is under way, and when the last one ended.
func (s *CallTimer) idle() (bool, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active == 0, s.ended
}

// Total returns the time measured so far.
func (s *CallTimer) Total() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Tracker holds the active requests.
type Tracker struct {
	// Fanout tells how many calls on a route a request of another route makes,
	// as far as it is known. It may be nil.
	Fanout func(route, call string) float64

	active  sync.Map
	orphans orphans
}

// Open adds a request and returns its ticket, which can't be guessed.
func (t *Tracker) Open(r *Request) string {
	ticket := rand.Text()
	r.opened = time.Now()
	t.active.Store(ticket, r)
	return ticket
}

// Find returns the request of a ticket.
func (t *Tracker) Find(ticket string) (*Request, bool) {
	r, ok := t.active.Load(ticket)
	if !ok {
		return nil, false
	}
	return r.(*Request), true
}

// Close removes a request; its ticket is void from then on.
func (t *Tracker) Close(ticket string) { t.active.Delete(ticket) }
