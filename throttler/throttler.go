// Package throttler implements a retry budget: it limits the extra attempts of
// all nodes of the fleet together at each service.
//
// In any window the extra arrivals at a service may be at most a share of the
// requests that callers sent for it (the ratio) and a fixed number (the slack).
// Each node uses a part that stays within the budget whatever the other nodes
// do: half of the ratio for the requests received by this node, and an equal
// part of half of the slack. A request that is retried makes its nested calls
// again, so an extra attempt is charged to every service that it reaches.
//
// # Usage
//
//	r := throttler.New(throttler.Budget{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}, counts, nodes)
//	r.RecordRequest("orders", "place", false)
//	if r.AllowRetry("orders", "place") { retry }
package throttler

import (
	"sync"
	"time"
)

// usedShare is the share of the budget that is used. The rest covers attempts at
// the edge of a window, and nodes that count each other twice.
const usedShare = 0.5

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

// Throttler holds this node's part of the retry budget of each service.
type Throttler struct {
	budget Budget
	counts CallCounter
	nodes  func() int

	mu       sync.Mutex
	services map[string]*bucket
}

// bucket is the token bucket of one service; a token is one extra arrival.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a throttler; nodes returns the size of the fleet.
func New(b Budget, c CallCounter, nodes func() int) *Throttler {
	return &Throttler{budget: b, counts: c, nodes: nodes, services: map[string]*bucket{}}
}

// nodeSlack returns this node's part of the slack.
func (r *Throttler) nodeSlack() float64 {
	return usedShare * r.budget.Slack / float64(max(r.nodes(), 1))
}

// refilledBucket returns the refilled bucket of a service. The caller holds the
// lock.
func (r *Throttler) refilledBucket(name string) *bucket {
	now := time.Now()
	b := r.services[name]
	if b == nil {
		b = &bucket{tokens: r.capacity(), refilledAt: now}
		r.services[name] = b
	}
	b.tokens = min(r.capacity(), b.tokens+r.nodeSlack()*now.Sub(b.refilledAt).Seconds()/r.budget.Window.Seconds())
	b.refilledAt = now
	return b
}

// capacity returns the maximum number of tokens of a bucket. It is at least one,
// because a smaller bucket would never allow an attempt.
func (r *Throttler) capacity() float64 { return max(1, r.nodeSlack()) }

// RecordRequest adds tokens for a request of a caller. Nested calls add none,
// because the budget is a share of the requests sent by callers.
func (r *Throttler) RecordRequest(service, _ string, nested bool) {
	if nested {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilledBucket(service)
	b.tokens = min(r.capacity(), b.tokens+usedShare*r.budget.Ratio)
}

// AllowRetry charges an extra attempt to every service that it reaches and reports
// whether all of them have budget left. If not, it charges nothing. If the
// services reached are unknown, it charges the given service only.
func (r *Throttler) AllowRetry(service, route string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts.Counts(route)
	if counts[service] == 0 {
		return r.tryWithdraw(service, 1)
	}
	for name := range counts {
		if r.refilledBucket(name).tokens < 1 {
			return false
		}
	}
	for name, count := range counts {
		r.refilledBucket(name).tokens -= count
	}
	return true
}

func (r *Throttler) tryWithdraw(service string, count float64) bool {
	b := r.refilledBucket(service)
	if b.tokens < 1 {
		return false
	}
	b.tokens -= count
	return true
}
