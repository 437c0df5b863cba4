// Package throttler implements a retry budget: it limits the extra attempts of
// all nodes of the fleet together at each service.
//
// In any window the extra arrivals at a service may be at most a share of the
// requests that callers sent for it (the ratio) and a fixed number (the slack). A node
// earns a part of the ratio by the requests that it receives, and forgets what it has
// not used within a window. The slack is in a pool that all nodes share, since few of them
// send the calls that fail; a part for each node would also grow with the fleet. A request
// that is retried makes its nested calls again, so an extra attempt is charged to every
// service that it reaches.
//
// # Usage
//
//	r := throttler.New(throttler.Budget{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}, counts, pool)
//	r.RecordRequest("orders", "place", false)
//	if r.AllowRetry(ctx, "orders", "place") { retry }
package throttler

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// earnedShare is the share of the ratio that is used. The rest covers attempts at
	// the edge of a window, and nodes that count each other twice.
	earnedShare = 0.5
	// pooledShare is the share of the slack that the pool may give out in a window, one
	// half at once and the other one in the course of it. initialShare is the share
	// with which a pool starts.
	pooledShare, initialShare = 0.6, 0.1
)

// Budget limits the extra arrivals at a service in any window.
type Budget struct {
	// Ratio is the number of extra arrivals per request that callers sent for
	// the service.
	Ratio float64
	// Slack is the number of extra arrivals allowed in addition.
	Slack  float64
	Window time.Duration
}

// CallCounter provides the number of arrivals that a request of a route causes at
// each service.
type CallCounter interface {
	Counts(route string) map[string]float64
}

// Shared returns the rate, in tokens per second, the size and the initial content of the
// token bucket of the pool.
func (b Budget) Shared() (rate, size, initial float64) {
	half := pooledShare / 2 * b.Slack
	return half / b.Window.Seconds(), half, initialShare * b.Slack
}

// Pool holds the part of the budgets that all nodes share.
type Pool interface {
	// Draw takes tokens of a service, each for one extra arrival, and reports whether
	// there were enough.
	Draw(ctx context.Context, service string, tokens float64) bool
}

// Throttler holds what this node has earned of the retry budget of each service.
type Throttler struct {
	budget Budget
	counts CallCounter
	pool   Pool

	mu     sync.Mutex
	earned map[string]*earnings
}

// earnings are the extra arrivals at a service that this node may cause.
type earnings struct {
	tokens    float64
	decayedAt time.Time
}

// New returns a throttler.
func New(b Budget, c CallCounter, p Pool) *Throttler {
	return &Throttler{budget: b, counts: c, pool: p, earned: map[string]*earnings{}}
}

// earnings returns what is left of the earnings for a service. The caller holds the lock.
func (r *Throttler) earnings(service string) *earnings {
	now := time.Now()
	e := r.earned[service]
	if e == nil {
		e = &earnings{decayedAt: now}
		r.earned[service] = e
	}
	e.tokens *= math.Exp(-float64(now.Sub(e.decayedAt)) / float64(r.budget.Window))
	e.decayedAt = now
	return e
}

// RecordRequest adds tokens for a request of a caller. Nested calls add none,
// because the budget is a share of the requests sent by callers.
func (r *Throttler) RecordRequest(service, _ string, nested bool) {
	if nested {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.earnings(service).tokens += earnedShare * r.budget.Ratio
}

// AllowRetry charges an extra attempt to every service that it reaches and reports
// whether all of them have budget left. It asks for the largest charge first. If the
// services reached are unknown, it charges the given service only.
func (r *Throttler) AllowRetry(ctx context.Context, service, route string) bool {
	counts := r.counts.Counts(route)
	if counts[service] == 0 {
		counts = map[string]float64{service: 1}
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, name := range names {
		if !r.charge(ctx, name, counts[name]) {
			return false
		}
	}
	return true
}

// charge takes tokens of this node, or else of the pool.
func (r *Throttler) charge(ctx context.Context, service string, tokens float64) bool {
	r.mu.Lock()
	e := r.earnings(service)
	if e.tokens >= tokens {
		e.tokens -= tokens
		r.mu.Unlock()
		return true
	}
	r.mu.Unlock()
	return r.pool.Draw(ctx, service, max(1, tokens))
}
