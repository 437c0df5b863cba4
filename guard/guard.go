// Package guard protects the upstream on the same host from more work than it
// can do.
//
// A guard limits the number of requests at the upstream by what it measures
// itself, queues the others for a short time, and sheds by priority. It takes
// nothing on trust that the upstream says of its capacity.
//
// Priorities are class first, then the rank drawn for the whole request at its
// entry, so that all nodes shed the same requests. A guard admits priorities
// from its level upwards and moves the level by the queueing delay that it
// sees. The level travels back with each answer; nodes at the entry refuse
// requests that would be shed below.
//
// # Usage
//
//	g := guard.New(guard.InitialLimit(8), guard.TargetDelay(20*time.Millisecond))
//	pass, err := g.Acquire(ctx, guard.Request{Class: class, Rank: rank, Workspace: name})
//	if err != nil { ... }
//	defer pass.Release()
package guard

import (
	"context"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// RanksPerClass is the number of ranks within a class.
const RanksPerClass = 64

// NumClasses is the number of classes, the lowest being zero.
const NumClasses = 16

// levels is the number of priorities.
const levels = NumClasses * RanksPerClass

// Request describes a request to the guard.
type Request struct {
	Class     schema.Class
	Rank      uint32
	Workspace string
	// Objective is the time within which an answer is worth most; zero if not
	// known. It bounds the time in the queue.
	Objective time.Duration
}

// Priority returns the place of a request among all, higher ones being shed
// later.
func Priority(class schema.Class, rank uint32) uint32 {
	return min(uint32(class), NumClasses-1)*RanksPerClass + min(rank, RanksPerClass-1)
}

// Guard protects one upstream.
type Guard struct {
	options Options

	mu      sync.Mutex
	limiter concurrency
	active  int
	queue   queue
	level   level
	closed  bool
	// latency is the mean time of a request at the upstream.
	latency time.Duration
	// busy is the mean number of requests inside and waiting, as of noted.
	busy  float64
	noted time.Time
}

// note takes the number of requests since the last change into the mean; the
// caller holds the lock and changes the number after the call.
func (g *Guard) note(now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(g.noted))/float64(busyMemory))
	g.busy += weight * (float64(g.active+g.queue.length) - g.busy)
	g.noted = now
}

// New returns a guard.
func New(opts ...Option) *Guard {
	o := newOptions(opts...)
	g := &Guard{options: o, limiter: newConcurrency(o), queue: newQueue()}
	g.level = newLevel(o, time.Now())
	return g
}

// Permit is the right of one request to be at the upstream.
type Permit struct {
	guard   *Guard
	entered time.Time
	below   time.Duration
}

// Acquire waits for the right to run a request at the upstream. It returns a
// *refuser.Error with code ShedAtGuard or DeadlineBeforeRun; the request has
// then not run.
func (g *Guard) Acquire(ctx context.Context, r Request) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, &refuser.Error{Code: refuser.DeadlineBeforeRun}
	}
	now := time.Now()
	priority := Priority(r.Class, r.Rank)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, &refuser.Error{Code: refuser.Draining}
	}
	g.adjust(now)
	g.note(now)
	if !g.level.admits(priority) && !g.options.QueueBelowLevel {
		g.mu.Unlock()
		return nil, &refuser.Error{Code: refuser.ShedAtGuard}
	}
	if g.active < g.limiter.limit() && g.queue.length == 0 {
		g.active++
		g.level.delayed(0)
		g.mu.Unlock()
		return &Permit{guard: g, entered: now}, nil
	}
	w := &waiter{request: r, priority: priority, queued: now, done: make(chan bool, 1)}
	evicted := g.queue.push(w, g.queueLimit())
	g.mu.Unlock()
	if evicted != nil {
		evicted.done <- false
	}
	return g.await(ctx, w)
}

// adjust moves the level if it is time; the caller holds the lock.
func (g *Guard) adjust(now time.Time) {
	g.level.adjust(now, g.active, g.limiter.limit(), g.queue.length, g.limiter.floor())
}

// queueLimit returns the number of requests that may wait.
func (g *Guard) queueLimit() int {
	return max(minQueue, queueRatio*g.limiter.limit())
}

func (g *Guard) await(ctx context.Context, w *waiter) (*Permit, error) {
	patience := g.options.MaxWait
	if w.request.Objective > 0 {
		patience = w.request.Objective / patienceShare
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	code := refuser.ShedAtGuard
	select {
	case admitted := <-w.done:
		return g.outcome(admitted)
	case <-ctx.Done():
		code = refuser.DeadlineBeforeRun
	case <-timer.C:
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	if removed {
		g.level.delayed(patience)
	}
	g.mu.Unlock()
	if removed {
		return nil, &refuser.Error{Code: code}
	}
	return g.outcome(<-w.done)
}

func (g *Guard) outcome(admitted bool) (*Permit, error) {
	if !admitted {
		return nil, &refuser.Error{Code: g.turnedAway()}
	}
	return &Permit{guard: g, entered: time.Now()}, nil
}

// ExcludeCallTime takes the time that the request spent in calls to other services out
// of its measured time.
func (p *Permit) ExcludeCallTime(d time.Duration) { p.below += d }

// Release ends the right.
func (p *Permit) Release() {
	g := p.guard
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(now)
	g.level.left()
	g.limiter.sample(now, p.entered, now.Sub(p.entered)-p.below, g.active)
	g.learn(now.Sub(p.entered))
	g.active--
	g.fill(now)
}

// learn takes a latency into the mean.
func (g *Guard) learn(latency time.Duration) {
	if g.latency == 0 {
		g.latency = latency
	}
	g.latency += time.Duration(latencyWeight * float64(latency-g.latency))
}

// fill lets waiting requests in while there is room; the caller holds the lock.
func (g *Guard) fill(now time.Time) {
	for g.active < g.limiter.limit() {
		w := g.queue.pop()
		if w == nil {
			return
		}
		g.active++
		g.level.delayed(now.Sub(w.queued))
		w.done <- true
	}
}

// Level returns the lowest priority admitted.
func (g *Guard) Level() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjust(time.Now())
	return g.level.lowest
}

// Status describes a guard to operators.
type Status struct {
	Limit  int
	Active int
	Queued int
	Level  uint32
}

// Status returns the present numbers.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{g.limiter.limit(), g.active, g.queue.length, g.level.lowest}
}

// turnedAway returns the code for a waiting request that is not let in.
func (g *Guard) turnedAway() refuser.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return refuser.Draining
	}
	return refuser.ShedAtGuard
}

// Close lets nothing in any more and turns all waiting requests away.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		w.done <- false
	}
}

// Resize sets a fixed concurrency limit.
func (g *Guard) Resize(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.limiter.(fixed); !ok || int(f) == limit {
		return
	}
	g.limiter = fixed(limit)
	g.fill(time.Now())
}

// Describe tells other nodes the load.
func (g *Guard) Describe() *schema.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.adjust(now)
	g.note(now)
	return &schema.Endpoint{
		Busy:    float32(g.busy),
		Limit:   uint32(g.limiter.limit()),
		Active:  uint32(g.active),
		Queued:  uint32(g.queue.length),
		Level:   g.level.lowest,
		Latency: durationpb.New(g.latency),
	}
}
