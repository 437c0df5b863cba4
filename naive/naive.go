// Package naive makes the decisions of the request path in the simplest way:
// equal static shares, round robin, first in first out, no limit. It is the
// yardstick of the differential tests and of the measurements, and is selected
// by the setting "policy = naive".
//
// # Usage
//
//	admitter := naive.NewAdmitter(confirmer, gossiper)
//	picker := naive.NewPicker(gossiper)
//	gate := naive.NewGate(connections)
package naive

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/balancer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/limiter"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

// RetriesPerCall is the number of extra attempts at each hop.
const RetriesPerCall = 2

// Directory pictures the fleet.
type Directory interface {
	View() *gossiper.View
}

// Admitter divides each rate and burst equally among the live nodes.
type Admitter struct {
	state     forwarder.State
	directory Directory

	mu      sync.Mutex
	buckets map[string]*limiter.Bucket
}

// NewAdmitter returns an admitter.
func NewAdmitter(s forwarder.State, d Directory) *Admitter {
	return &Admitter{state: s, directory: d, buckets: map[string]*limiter.Bucket{}}
}

// Admit takes a token from this node's equal share.
func (a *Admitter) Admit(_ context.Context, workspace string, _ time.Duration) error {
	limit, ok := a.state.Snapshot().Limit(workspace)
	if !ok {
		return &refuser.Error{Code: refuser.KeyUnknown}
	}
	nodes := float64(max(a.directory.View().LiveCount(), 1))
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[workspace]
	if b == nil {
		b = &limiter.Bucket{Tokens: limit.Burst / nodes, Updated: now}
		a.buckets[workspace] = b
	}
	b.Resize(now, limit.Rate/nodes, limit.Burst/nodes)
	if !b.TryTake(now) {
		return &refuser.Error{Code: refuser.RateExceeded, Detail: refuser.Detail{Retry: time.Second}}
	}
	return nil
}

// Picker goes round the nodes of a service.
type Picker struct {
	balancer *balancer.Balancer
	next     atomic.Uint64
}

// NewPicker returns a picker.
func NewPicker(d Directory) *Picker {
	return &Picker{balancer: balancer.New(d, "")}
}

// Pick returns the next node.
func (p *Picker) Pick(service string, _ set.Set[string]) (*balancer.Target, bool) {
	return p.balancer.PickIndex(service, p.next.Add(1))
}

// ConcurrencyLimiter admits everyone in order of arrival.
type ConcurrencyLimiter struct {
	guard *guard.Guard
}

// NewConcurrencyLimiter returns a gate that lets through what the connections allow.
func NewConcurrencyLimiter(connections int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{guard: guard.New(guard.InitialLimit(connections), guard.MaxLimit(connections), guard.FixedLimit(), guard.TargetDelay(time.Hour))}
}

// Acquire waits for a connection.
func (l *ConcurrencyLimiter) Acquire(ctx context.Context, r guard.Request) (*guard.Permit, error) {
	r.Class = schema.Class_CLASS_NORMAL
	r.Workspace = ""
	return l.guard.Acquire(ctx, r)
}

// Level admits all priorities.
func (l *ConcurrencyLimiter) Level() uint32 { return 0 }

// RetryThrottler allows any number of extra attempts.
type RetryThrottler struct{}

// RecordRequest does nothing.
func (RetryThrottler) RecordRequest(string, string, bool) {}

// AllowRetry always succeeds.
func (RetryThrottler) AllowRetry(string, string) bool { return true }
