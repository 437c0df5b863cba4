// Package naive implements the simplest policy for the request path: equal
// static shares of each rate, round robin, a first-in, first-out queue, and a
// fixed number of retries per call with no budget for their total. It is the
// baseline of the differential tests and of the measurements, and is selected by
// the setting "policy = naive".
//
// # Usage
//
//	admitter := naive.NewAdmitter(confirmer, gossiper)
//	picker := naive.NewPicker(gossiper)
//	concurrency := naive.NewConcurrencyLimiter(connections)
//	retries := naive.RetryThrottler{}
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

// RetriesPerCall is the number of retries after the first attempt, at each hop.
const RetriesPerCall = 2

// Directory provides the current view of the fleet.
type Directory interface {
	View() *gossiper.View
}

// Admitter gives each live node an equal share of each workspace's rate and
// burst.
type Admitter struct {
	state     forwarder.State
	directory Directory

	mu      sync.Mutex
	buckets map[string]*limiter.Bucket
}

// NewAdmitter returns an Admitter that reads limits from s and the number of
// live nodes from d.
func NewAdmitter(s forwarder.State, d Directory) *Admitter {
	return &Admitter{state: s, directory: d, buckets: map[string]*limiter.Bucket{}}
}

// Admit consumes a token of the workspace from this node's share, and fails
// immediately if there is none.
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
		return &refuser.Error{Code: refuser.RateExceeded, Detail: refuser.Detail{RetryAfter: time.Second}}
	}
	return nil
}

// Picker selects the nodes of a service in turn (round robin).
type Picker struct {
	balancer *balancer.Balancer
	next     atomic.Uint64
}

// NewPicker returns a Picker for the nodes of d.
func NewPicker(d Directory) *Picker {
	return &Picker{balancer: balancer.New(d, "")}
}

// PickInTime returns the next node of the service in an allowed region, whatever the time
// that a call needs. It ignores the set of nodes to exclude.
func (p *Picker) PickInTime(service string, need balancer.Need, _ set.Set[string]) (*balancer.Target, bool) {
	return p.balancer.PickIndex(service, need, p.next.Add(1))
}

// PickHashed returns the next node of the service in an allowed region, whatever the key.
func (p *Picker) PickHashed(service string, need balancer.Need, _ uint64, tried set.Set[string]) (*balancer.Target, bool) {
	return p.PickInTime(service, need, tried)
}

// Covers reports whether any upstream of a service is in an allowed region.
func (p *Picker) Covers(service string, need balancer.Need) bool {
	return p.balancer.Covers(service, need)
}

// ConcurrencyLimiter admits requests in order of arrival, whatever their class
// and workspace.
type ConcurrencyLimiter struct {
	guard *guard.Guard
}

// NewConcurrencyLimiter returns a ConcurrencyLimiter whose fixed limit is the
// number of connections. A target delay of one hour in effect turns off shedding
// by queueing delay.
func NewConcurrencyLimiter(connections int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{guard: guard.New(guard.InitialLimit(connections), guard.MaxLimit(connections), guard.FixedLimit(), guard.TargetDelay(time.Hour))}
}

// Acquire waits for a free connection. All requests get the same class and
// workspace, so that the guard does not order them.
func (l *ConcurrencyLimiter) Acquire(ctx context.Context, r guard.Request) (*guard.Permit, error) {
	r.Class = schema.Class_CLASS_NORMAL
	r.Workspace = ""
	return l.guard.Acquire(ctx, r)
}

// Level returns 0: all priorities are admitted.
func (l *ConcurrencyLimiter) Level() uint32 { return 0 }

// RetryThrottler allows any number of retries.
type RetryThrottler struct{}

// RecordRequest does nothing.
func (RetryThrottler) RecordRequest(string, string, bool) {}

// AllowRetry returns true.
func (RetryThrottler) AllowRetry(context.Context, string, string) bool { return true }
