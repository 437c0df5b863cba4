// Package allocator enforces the rates of workspaces in a fleet in which every node
// receives the usage reports of every other node.
//
// What all nodes together admit is conserved: it does not grow with their number. Tokens
// are in reserves, which two nodes hold for each workspace, and in buckets at the nodes.
//
// A workspace whose bucket, divided among all nodes, would not hold a few whole tokens at
// each is pooled: all its tokens are in the reserves, and a node takes one for each request.
// That is the usual case in a large fleet.
//
// The rates of other workspaces are divided. Each node reports its arrival rate, and from
// the reports computes its own share: its own arrival rate and an equal share of the
// unused rate, or, if the arrivals exceed the rate, a share in proportion to its
// arrivals. The shares of all nodes add up to the rate as far as the nodes have received
// the same reports. The share of a node that stopped reporting stays reserved for it.
// Arrivals are uneven over short times, and a small bucket at each node refuses more of
// them than one large bucket would. So a part of the rate stays in the reserves, and a
// node without tokens borrows before it refuses a request.
//
// Nodes with the same view of the fleet choose the same holders. A holder scales its
// reserve by the share of the known nodes that it reaches, so that the sides of a
// partition have no more than the rate together. A reserve of a node that has just become
// a holder starts with what may be admitted in addition to earlier requests that it does
// not know of.
//
// Retry budgets of services are kept in the same way, in reserves only.
//
// # Usage
//
//	d := allocator.New(fleet, state, lender, allocator.Allowance{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
//	if err := d.Admit(ctx, "gloves", 200*time.Millisecond); err != nil { ... }
//	resp, err := d.Borrow(req) // at a holder
package allocator

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"quetzalhub/gossiper"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// shareInterval is the time between two computations of a node's share.
	shareInterval = 100 * time.Millisecond
	// arrivalTimeConstant is the time constant of the exponential moving average
	// of the arrival rate.
	arrivalTimeConstant = 3 * time.Second
	// recentTimeConstant is the time constant of a faster average, which detects
	// a surge before the slower one does.
	recentTimeConstant = 500 * time.Millisecond
	// evenWeight is the weight of an equal division in a node's share. It is
	// above zero because a node counts few arrivals, so that their average is
	// inexact.
	evenWeight = 0.08
	// minBucketSize is the mean size in tokens that the buckets of a workspace must
	// have at the nodes for its rate to be divided. Smaller buckets would refuse single
	// requests of workspaces with low rates.
	minBucketSize = 5
	// rateOverageShare and burstOverageShare are the shares of the allowance that
	// are used to admit more requests, and restartShare is the share with which
	// reserves and buckets start. The rest covers arrivals that other nodes have
	// not reported yet.
	rateOverageShare  = 0.5
	burstOverageShare = 0.5
	restartShare      = 0.25
	// unreportedFactor multiplies the number of nodes, with equal arrivals, among which
	// a node divides a rate while it has no usage reports of others.
	unreportedFactor = 2
	// pooledTokenLifetime is the time after which unused tokens of a pooled workspace
	// are dropped at a node. Otherwise all nodes could use many old ones at once.
	pooledTokenLifetime = time.Second
	// acceptanceWeight is the weight of a new request in the moving average of the
	// share that got a token.
	acceptanceWeight = 0.1
	// retryInterval is the time after which a waiting request tries again to take
	// a token.
	retryInterval = 40 * time.Millisecond
	// minReportedArrivals is the arrival rate, in requests per second, up to which
	// a workspace is left out of usage reports.
	minReportedArrivals = 0.05
)

// Fleet provides the members of the fleet and their usage reports.
type Fleet interface {
	// Usages returns the workspace usage last reported by each other node.
	Usages() map[string][]*schema.Usage
	// View returns the current members of the fleet.
	View() *gossiper.View
	// Identity returns the name and incarnation of this node.
	Identity() (name string, incarnation uint64)
}

// Lender sends borrow requests to the holder of a reserve.
type Lender interface {
	Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error)
}

// State provides the configured limits.
type State interface {
	Snapshot() *resolver.Snapshot
}

// account holds this node's token bucket and arrival rates for one workspace.
type account struct {
	limit          resolver.Limit
	tokens         float64
	rate           float64
	size           float64
	refilledAt     time.Time
	shareUpdatedAt time.Time
	// arrivals is the average number of requests per second, as of decayedAt.
	arrivals float64
	// recentArrivals is the same with recentTimeConstant.
	recentArrivals float64
	// otherArrivals is the sum of the arrival rates reported by other nodes.
	otherArrivals float64
	decayedAt     time.Time
	// pooled is true if all tokens of the workspace are in the reserves.
	pooled bool
	// waiting is the number of requests that wait for a call to a holder.
	waiting int
	// acceptance is the moving average of the share of requests that got a token.
	acceptance float64
	// borrowDone is closed when the call to the holder that is under way ends. It
	// is nil if there is none.
	borrowDone chan struct{}
	// reserveEmptyUntil is the time until which the reserve is assumed to be
	// empty.
	reserveEmptyUntil time.Time
}

// Allowance limits the admissions beyond a workspace's rate and burst that the
// operators accept in any window. A part of it compensates for arrivals that are
// uneven among nodes.
type Allowance struct {
	Window time.Duration
	// Overage is the accepted excess as a share of rate x window + burst.
	Overage float64
	// Slack is a number of requests accepted in addition.
	Slack float64
}

// Allocator admits requests within this node's share of their workspace's rate.
type Allocator struct {
	fleet     Fleet
	state     State
	lender    Lender
	allowance Allowance

	// retries is the shared retry budget of each service.
	retries Bucket
	started time.Time

	mu       sync.Mutex
	accounts map[string]*account
	reserves map[string]*reserve
	holders  holderCache
	// unreachableUntil holds, by name, the holders that did not answer and the time
	// until which they are not asked again.
	unreachableUntil map[string]time.Time
	// drawnUntil holds, by service, the time until which the shared retry budget is
	// assumed to be spent.
	drawnUntil map[string]time.Time
}

// Option configures an Allocator.
type Option func(*Allocator)

// WithRetries makes the allocator keep a retry budget for each service, from which Draw
// takes tokens.
func WithRetries(b Bucket) Option { return func(d *Allocator) { d.retries = b } }

// New returns an allocator.
func New(f Fleet, s State, l Lender, a Allowance, opts ...Option) *Allocator {
	d := &Allocator{
		fleet: f, state: s, lender: l, allowance: a, started: time.Now(),
		accounts: map[string]*account{}, reserves: map[string]*reserve{}, unreachableUntil: map[string]time.Time{},
		drawnUntil: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Admit takes a token of a workspace. If none is available at this node or in the
// reserve, it tries again for at most maxWait. Then it returns a *refuser.Error
// with code RateExceeded. It returns code KeyUnknown at once if the state does not
// contain the workspace.
func (d *Allocator) Admit(ctx context.Context, workspace string, maxWait time.Duration) error {
	until := time.Now().Add(maxWait)
	err := d.takeToken(ctx, workspace, true)
	for refuser.CodeOf(err) == refuser.RateExceeded {
		pause := min(time.Until(until), retryInterval)
		if pause <= 0 || !sleep(ctx, pause) {
			return err
		}
		err = d.takeToken(ctx, workspace, false)
	}
	return err
}

// Restore returns the token of an admitted request that was then refused for lack
// of capacity. A workspace whose arrivals exceed its share at this node gets back
// only the ratio of the share to the arrivals. Otherwise a workspace that sends
// many times its rate would get more attempts than others by the same factor.
func (d *Allocator) Restore(workspace string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.accounts[workspace]
	if a == nil || !a.limit.HasRate() {
		return
	}
	if a.pooled {
		a.addTokens(a.acceptance, time.Now())
		return
	}
	a.tokens += min(1, a.rate/(1-reserveShare)/max(a.recentArrivals, 1e-3))
}

// sleep waits for d and reports whether it did so before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeToken takes a token without waiting for the next refill, but may call the
// holder for tokens. firstAttempt is true if the request was not counted yet.
func (d *Allocator) takeToken(ctx context.Context, workspace string, firstAttempt bool) error {
	limit, ok := d.state.Snapshot().Limit(workspace)
	if !ok {
		return &refuser.Error{Code: refuser.KeyUnknown}
	}
	if !limit.HasRate() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a := d.account(workspace, limit, now)
	if firstAttempt {
		a.countArrival(now)
	}
	if now.Sub(a.shareUpdatedAt) >= shareInterval || a.limit != limit {
		a.limit = limit
		d.updateShare(workspace, a, now)
	}
	a.refill(now)
	if a.tokens < 1 && now.After(a.reserveEmptyUntil) {
		d.borrowTokens(ctx, workspace, a)
		a.refill(time.Now())
	}
	if firstAttempt {
		a.countOutcome(a.tokens >= 1)
	}
	if a.tokens < 1 {
		wait := time.Duration((1 - a.tokens) / max(a.rate, 1e-3) * float64(time.Second))
		return &refuser.Error{Code: refuser.RateExceeded, Detail: refuser.Detail{RetryAfter: min(wait, time.Second), Note: a.refusalNote(workspace)}}
	}
	a.tokens--
	return nil
}

// refusalNote returns the limit and the arrival rates that led to a refusal.
func (a *account) refusalNote(workspace string) string {
	if a.pooled {
		return fmt.Sprintf("Workspace %s has a limit of %.0f/s for all nodes together; %.1f/s arrive at this node, of which %.0f%% were admitted.",
			workspace, a.limit.Rate, a.arrivals, 100*a.acceptance)
	}
	return fmt.Sprintf("Workspace %s has a limit of %.0f/s; %.1f/s arrive at this node and %.1f/s at other nodes; the share of this node is %.1f/s.",
		workspace, a.limit.Rate, a.arrivals, a.otherArrivals, a.rate)
}

func (d *Allocator) account(workspace string, limit resolver.Limit, now time.Time) *account {
	a := d.accounts[workspace]
	if a == nil {
		a = &account{limit: limit, refilledAt: now, decayedAt: now, acceptance: 1}
		d.accounts[workspace] = a
		d.updateShare(workspace, a, now)
		if !a.pooled {
			fleetRate, _ := d.fleetBucket(limit)
			a.tokens = min(1, restartShare*d.excess(limit)*a.rate/fleetRate)
		}
	}
	return a
}

// countOutcome adds to the average whether a request got a token.
func (a *account) countOutcome(admitted bool) {
	a.acceptance *= 1 - acceptanceWeight
	if admitted {
		a.acceptance += acceptanceWeight
	}
}

// addTokens adds tokens of a pooled workspace.
func (a *account) addTokens(tokens float64, now time.Time) {
	a.refill(now)
	a.tokens += tokens
	a.refilledAt = now
}

// countArrival adds an arrival to the averages.
func (a *account) countArrival(now time.Time) {
	a.decay(now)
	a.arrivals += float64(time.Second) / float64(arrivalTimeConstant)
	a.recentArrivals += float64(time.Second) / float64(recentTimeConstant)
}

// decay reduces the averages by the time since the last call.
func (a *account) decay(now time.Time) {
	a.arrivals *= math.Exp(-float64(now.Sub(a.decayedAt)) / float64(arrivalTimeConstant))
	a.recentArrivals *= math.Exp(-float64(now.Sub(a.decayedAt)) / float64(recentTimeConstant))
	a.decayedAt = now
}

// refill adds the tokens accrued since the last call.
func (a *account) refill(now time.Time) {
	if a.pooled {
		if now.Sub(a.refilledAt) > pooledTokenLifetime {
			a.tokens = 0
		}
		return
	}
	// Borrowed tokens may exceed the bucket size and are kept.
	a.tokens = max(a.tokens, min(a.size, a.tokens+a.rate*now.Sub(a.refilledAt).Seconds()))
	a.refilledAt = now
}

// updateShare computes the rate and the bucket size of this node.
func (d *Allocator) updateShare(workspace string, a *account, now time.Time) {
	a.refill(now)
	a.decay(now)
	a.shareUpdatedAt = now
	rate, size := d.fleetBucket(a.limit)
	nodes := float64(d.fleet.View().Known)
	if pooled := isPooled(size, nodes); pooled != a.pooled {
		// The tokens are now in the reserves, or were until now.
		a.pooled, a.tokens, a.refilledAt = pooled, 0, now
	}
	if a.pooled {
		a.rate, a.size = 0, 0
		return
	}
	others, reports := 0.0, d.fleet.Usages()
	for _, usages := range reports {
		for _, u := range usages {
			if u.GetWorkspace() == workspace {
				others += float64(u.GetArrivals())
			}
		}
	}
	nodes = max(nodes, float64(len(reports)+1))
	if len(reports) == 0 {
		// Others may have divided most of the rate among themselves.
		nodes *= unreportedFactor
		others = a.arrivals * (nodes - 1)
	}
	a.otherArrivals = others
	a.rate = nodeShare((1-reserveShare)*rate, a.arrivals, others, nodes)
	a.size = (1 - reserveShare) * size * a.rate / rate
}

// isPooled reports whether all tokens of a workspace are kept in the reserves, given the
// size of the bucket that the whole fleet would have.
func isPooled(size, nodes float64) bool {
	return (1-reserveShare)*size < minBucketSize*nodes
}

// excess returns the number of requests that the allowance accepts in a window beyond the
// rate and burst.
func (d *Allocator) excess(l resolver.Limit) float64 {
	return d.allowance.Overage*(l.Rate*d.allowance.Window.Seconds()+l.Burst) + d.allowance.Slack
}

// fleetBucket returns the rate and the size that one bucket for the whole fleet
// would have, including the used part of the allowance.
func (d *Allocator) fleetBucket(l resolver.Limit) (rate, size float64) {
	return l.Rate * (1 + rateOverageShare*d.allowance.Overage), l.Burst + burstOverageShare*d.excess(l)
}

// nodeShare returns a node's share of a rate, given its own arrival rate, that of
// all other nodes and the number of nodes.
func nodeShare(rate, own, others, nodes float64) float64 {
	own, others = own+evenWeight*((own+others)/nodes-own), others+evenWeight*((own+others)*(nodes-1)/nodes-others)
	if sum := own + others; sum > rate {
		return rate * own / sum
	}
	return own + (rate-own-others)/nodes
}

// Usages returns the arrival rate at this node of each workspace in use whose rate is
// divided.
func (d *Allocator) Usages() []*schema.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list []*schema.Usage
	for workspace, a := range d.accounts {
		a.decay(now)
		if !a.pooled && a.arrivals > minReportedArrivals {
			list = append(list, &schema.Usage{Workspace: workspace, Arrivals: float32(a.arrivals)})
		}
	}
	return list
}
