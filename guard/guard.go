// Package guard protects the upstream on the same host from overload by
// admission control.
//
// A guard limits the number of concurrent requests at the upstream, queues
// further requests for a short time, and sheds load by priority. It also keeps to
// the rate limit that the upstream states, if any, and to what the upstream bears while
// it is cold. Unless the limit is fixed, it follows from latencies that the guard measures itself; the
// guard does not rely on what the upstream reports of its capacity.
//
// The priority of a request is its class and then its rank, which is drawn at
// random once, at the entry, for the request and all its calls, so that all
// nodes shed the same requests. A guard admits requests whose priority is at
// least its level, and adjusts the level by the queueing delay. Each response
// carries the level, so that entry nodes refuse requests that a later node
// would shed.
//
// # Usage
//
//	g := guard.New(guard.InitialLimit(8), guard.TargetDelay(20*time.Millisecond))
//	permit, err := g.Acquire(ctx, guard.Request{Class: class, Rank: rank, Workspace: name})
//	if err != nil { ... }
//	defer permit.Release()
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

// RanksPerClass is the number of ranks in a class. Ranks start at zero.
const RanksPerClass = 64

// NumClasses is the number of priority classes. Classes start at zero, the
// least important one.
const NumClasses = 16

// numPriorities is the number of priorities: one for each rank of each class.
const numPriorities = NumClasses * RanksPerClass

// Request holds the properties of a request by which a guard admits it.
type Request struct {
	Class     schema.Class
	Rank      uint32
	Workspace string
	// Objective is the latency objective of the request, or zero if it is not
	// known. It bounds the time in the queue.
	Objective time.Duration
	// Expected is the mean time that requests of this kind take, or zero if it is not
	// known.
	Expected time.Duration
}

// Priority returns the priority of a request. Lower priorities are shed first.
func Priority(class schema.Class, rank uint32) uint32 {
	return min(uint32(class), NumClasses-1)*RanksPerClass + min(rank, RanksPerClass-1)
}

// Guard limits the concurrent requests at one upstream.
type Guard struct {
	options Options

	mu      sync.Mutex
	limiter concurrencyLimiter
	rate    rateLimiter
	intake  intakeLimiter
	active  int
	queue   queue
	level   level
	closed  bool
	// admissionScheduled is true while a timer waits for the rate limit.
	admissionScheduled bool
	// meanLatency is the exponential moving average of the time of a request at
	// the upstream.
	meanLatency time.Duration
	// pace is the exponential moving average of the ratio of the time of a request to
	// that expected, or zero before the first one. Latencies alone depend on which
	// kinds of requests an upstream has received.
	pace float64
	// ages tells how long the active requests have run.
	ages ages
	// meanLoad is the exponential moving average of the number of active and
	// queued requests, as of meanLoadUpdated.
	meanLoad        float64
	meanLoadUpdated time.Time
}

// updateMeanLoad updates meanLoad with the number of requests since the last
// update. The caller holds the lock and changes the number only after the call.
func (g *Guard) updateMeanLoad(now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(g.meanLoadUpdated))/float64(meanLoadTimeConstant))
	g.meanLoad += weight * (float64(g.active+g.queue.length) - g.meanLoad)
	g.meanLoadUpdated = now
}

// New returns a guard that admits requests until Close is called.
func New(opts ...Option) *Guard {
	o := newOptions(opts...)
	g := &Guard{options: o, limiter: newConcurrencyLimiter(o), queue: newQueue()}
	g.level = newLevel(o, time.Now())
	return g
}

// Permit allows one request to run at the upstream until it is released.
type Permit struct {
	guard      *Guard
	admittedAt time.Time
	expected   time.Duration
	callTime   time.Duration
}

// Acquire waits for a permit to run a request at the upstream. It fails with a
// *refuser.Error of code ShedAtGuard, UpstreamCold, DeadlineBeforeRun or Draining; the
// request has then not run.
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
	g.adjustLevel(now)
	g.updateMeanLoad(now)
	if !g.level.admit(priority, r.Workspace) && !g.options.QueueBelowLevel {
		g.mu.Unlock()
		return nil, &refuser.Error{Code: refuser.ShedAtGuard}
	}
	if g.queue.length == 0 && g.available(now) {
		g.start(now, r.Expected)
		g.level.recordDelay(0)
		g.mu.Unlock()
		return &Permit{guard: g, admittedAt: now, expected: r.Expected}, nil
	}
	if g.intake.limited(now) && !bearsCold(r) {
		g.intake.refused++
		g.mu.Unlock()
		return nil, &refuser.Error{Code: refuser.UpstreamCold}
	}
	w := &waiter{request: r, priority: priority, queuedAt: now, cold: g.intake.limited(now), decision: make(chan bool, 1)}
	evicted := g.queue.push(w, g.queueLimit())
	g.scheduleAdmission()
	g.mu.Unlock()
	if evicted != nil {
		evicted.decision <- false
	}
	return g.awaitAdmission(ctx, w)
}

// available reports whether all limits allow another request now. The caller holds the
// lock.
func (g *Guard) available(now time.Time) bool {
	return g.active < g.limiter.limit() && g.rate.available(now) && g.intake.available(now)
}

// start counts a request that starts at the upstream. The caller holds the lock.
func (g *Guard) start(now time.Time, expected time.Duration) {
	g.rate.take()
	g.intake.take(now)
	g.active++
	g.ages.start(now, expected)
}

// adjustLevel adjusts the level if a window has passed; the caller holds the
// lock.
func (g *Guard) adjustLevel(now time.Time) {
	g.level.adjust(now, g.active, g.limiter.limit(), g.queue.length, g.limiter.noLoadLatency())
}

// queueLimit returns the maximum number of queued requests.
func (g *Guard) queueLimit() int {
	limit := max(minQueueLimit, queueLimitRatio*g.limiter.limit())
	if g.rate.limited() {
		limit = min(limit, max(1, int(g.rate.perSecond*maxRateWait.Seconds())))
	}
	if g.intake.limited(time.Now()) {
		limit = min(limit, g.intake.queueLimit())
	}
	return limit
}

func (g *Guard) awaitAdmission(ctx context.Context, w *waiter) (*Permit, error) {
	maxWait := g.options.MaxWait
	if w.request.Objective > 0 {
		maxWait = w.request.Objective / objectiveWaitDivisor
	}
	if w.cold {
		maxWait = min(maxWait, maxIntakeWait)
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	expired := false
	select {
	case admitted := <-w.decision:
		return g.newPermit(w, admitted)
	case <-ctx.Done():
		expired = true
	case <-timer.C:
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	if removed && !g.intake.limited(time.Now()) {
		g.level.recordDelay(maxWait)
	}
	g.mu.Unlock()
	switch {
	case !removed:
		return g.newPermit(w, <-w.decision)
	case expired:
		return nil, &refuser.Error{Code: refuser.DeadlineBeforeRun}
	default:
		return g.newPermit(w, false)
	}
}

func (g *Guard) newPermit(w *waiter, admitted bool) (*Permit, error) {
	if !admitted {
		return nil, &refuser.Error{Code: g.rejectionCode()}
	}
	return &Permit{guard: g, admittedAt: w.admittedAt, expected: w.request.Expected}, nil
}

// ExcludeCallTime subtracts the time that the request spent in calls to other
// services from the latency by which the concurrency limit is adjusted.
func (p *Permit) ExcludeCallTime(d time.Duration) { p.callTime += d }

// Release returns the permit and admits queued requests.
func (p *Permit) Release() {
	g := p.guard
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateMeanLoad(now)
	g.level.recordCompletion()
	g.limiter.addSample(now, p.admittedAt, now.Sub(p.admittedAt)-p.callTime, g.active)
	g.updateMeanLatency(now.Sub(p.admittedAt))
	g.updatePace(now.Sub(p.admittedAt), p.expected)
	g.ages.end(now, p.admittedAt, p.expected)
	g.active--
	g.admitQueued(now)
}

func (g *Guard) updateMeanLatency(latency time.Duration) {
	if g.meanLatency == 0 {
		g.meanLatency = latency
	}
	g.meanLatency += time.Duration(latencyWeight * float64(latency-g.meanLatency))
}

func (g *Guard) updatePace(latency, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(latency) / float64(expected)
	if g.pace == 0 {
		// One short request must not draw the requests of all nodes.
		g.pace = 1
	}
	weight := paceWeight
	if g.pace > slowPace && ratio < g.pace/2 {
		weight = recoveryWeight
	}
	g.pace += weight * (ratio - g.pace)
}

// admitQueued admits queued requests up to the limits; the caller holds the lock.
func (g *Guard) admitQueued(now time.Time) {
	for g.available(now) {
		w := g.queue.pop()
		if w == nil {
			return
		}
		g.start(now, w.request.Expected)
		if !w.cold {
			// A wait for a cold upstream does not show that too much was admitted by priority.
			g.level.recordDelay(now.Sub(w.queuedAt))
		}
		w.admittedAt = now
		w.decision <- true
	}
	g.scheduleAdmission()
}

// Level returns the lowest priority that is admitted.
func (g *Guard) Level() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjustLevel(time.Now())
	return g.level.minPriority
}

// Status is the state of a guard as published to operators.
type Status struct {
	Limit  int
	Active int
	Queued int
	Level  uint32
}

// Status returns the current limit, load and level.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{g.limiter.limit(), g.active, g.queue.length, g.level.minPriority}
}

// rejectionCode returns the code for a queued request that is rejected.
func (g *Guard) rejectionCode() refuser.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return refuser.Draining
	case g.intake.limited(time.Now()):
		g.intake.refused++
		return refuser.UpstreamCold
	default:
		return refuser.ShedAtGuard
	}
}

// Close rejects all queued and all later requests with code Draining.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		w.decision <- false
	}
}

// Resize changes a fixed concurrency limit. It has no effect on a guard with an
// adaptive limit.
func (g *Guard) Resize(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.limiter.(fixedLimit); !ok || int(f) == limit {
		return
	}
	g.limiter = fixedLimit(limit)
	g.admitQueued(time.Now())
}

// Describe returns the load of the upstream in the form that is sent to other
// nodes.
func (g *Guard) Describe() *schema.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.adjustLevel(now)
	g.updateMeanLoad(now)
	slowdown := g.ages.slowdown(now, g.pace)
	return &schema.Endpoint{
		Pace:    float32(g.pace * slowdown),
		Busy:    float32(g.meanLoad),
		Limit:   uint32(g.limiter.limit()),
		Active:  uint32(g.active),
		Queued:  uint32(g.queue.length),
		Level:   g.level.minPriority,
		Latency: durationpb.New(time.Duration(float64(g.meanLatency) * slowdown)),
		Rate:    g.rate.perSecond,
	}
}
