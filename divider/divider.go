// Package divider holds workspaces to their rates over a fleet in which every
// node hears from every other one.
//
// Each node tells the arrivals that it sees of each workspace. From those of
// all nodes it works out its own part of the rate: what arrives here and an
// equal part of what is left over, or, if more arrives than the rate allows, a
// part in proportion to its arrivals. The parts of all nodes add up to the
// rate as far as the nodes have heard the same; the part of a node that fell
// silent stays reserved for it.
//
// Arrivals are uneven over short times, and a small bucket at each node serves
// them worse than one large bucket would. So a share of each rate and burst is
// kept in a reserve at one node, the holder, which is the same for all nodes
// that know the same fleet. A node whose own tokens are used up asks the
// holder before it refuses.
//
// # Usage
//
//	d := divider.New(fleet, state, lender, divider.Allowance{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
//	if err := d.Admit(ctx, "gloves"); err != nil { ... }
//	resp, err := d.Borrow(req) // at the holder
package divider

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
	// renewal is the time between two computations of a part.
	renewal = 100 * time.Millisecond
	// memory is the time constant of the mean of arrivals.
	memory = 3 * time.Second
	// recently is the time constant of the arrivals by which a flood is seen
	// before the mean tells it.
	recently = 500 * time.Millisecond
	// evenShare is the weight of an even division in a part: the arrivals
	// counted at one node are few, so their mean is not exact.
	evenShare = 0.05
	// leastTokens is the smallest size of a bucket; a smaller one would
	// refuse single requests of small workspaces.
	leastTokens = 1.5
	// lonelyNodes is the number of nodes, with the same arrivals each, assumed
	// by one that has not heard of any other.
	lonelyNodes = 32
	// rateShare and burstShare are the parts of the allowance used to serve
	// more; the rest covers what nodes don't know of each other.
	rateShare  = 0.5
	burstShare = 0.5
	// look is the time between two looks of a request that waits.
	look = 40 * time.Millisecond
	// unused is the arrivals below which a workspace is not told to others.
	unused = 0.05
)

// Fleet knows what other nodes told.
type Fleet interface {
	// Usages returns what each other node told of its workspaces.
	Usages() map[string][]*schema.Usage
	// View returns the nodes.
	View() *gossiper.View
	// Identity names this node.
	Identity() (name string, incarnation uint64)
}

// Lender asks the holder of a reserve.
type Lender interface {
	Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error)
}

// State gives the limits.
type State interface {
	Snapshot() *resolver.Snapshot
}

// account is what a node keeps of one workspace.
type account struct {
	limit   resolver.Limit
	tokens  float64
	rate    float64
	size    float64
	filled  time.Time
	renewed time.Time
	// arrivals is the mean number a second, as of counted.
	arrivals float64
	// recent is the same over a shorter time.
	recent float64
	// others is the sum of what other nodes told.
	others  float64
	counted time.Time
	// asking is closed when the question under way to the holder is answered.
	asking chan struct{}
	// spent is the time until which the reserve is known to be empty.
	spent time.Time
}

// Allowance is what the operators accept beyond a workspace's rate and burst
// in any window of a certain length. A part of it makes up for arrivals that
// are uneven among nodes.
type Allowance struct {
	Window time.Duration
	// Overage is a share of rate and burst.
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// Divider admits requests of workspaces.
type Divider struct {
	fleet     Fleet
	state     State
	lender    Lender
	allowance Allowance

	mu       sync.Mutex
	accounts map[string]*account
	reserves map[string]*reserve
}

// New returns a divider.
func New(f Fleet, s State, l Lender, a Allowance) *Divider {
	return &Divider{
		fleet: f, state: s, lender: l, allowance: a,
		accounts: map[string]*account{}, reserves: map[string]*reserve{},
	}
}

// Admit takes a token of a workspace. If there is none here or in the reserve,
// it looks again while the patience lasts. Then it returns a *refuser.Error
// with code RateExceeded.
func (d *Divider) Admit(ctx context.Context, workspace string, patience time.Duration) error {
	until := time.Now().Add(patience)
	err := d.take(ctx, workspace, true)
	for refuser.CodeOf(err) == refuser.RateExceeded {
		pause := min(time.Until(until), look)
		if pause <= 0 || !wait(ctx, pause) {
			return err
		}
		err = d.take(ctx, workspace, false)
	}
	return err
}

// Restore gives back the token of a request that was refused for want of room.
// A workspace that asks for more than its part of this node gets back only what
// the part is of its arrivals: one that sends many times its rate would
// otherwise have as many chances more than the others.
func (d *Divider) Restore(workspace string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.accounts[workspace]
	if a == nil || !a.limit.HasRate() {
		return
	}
	a.tokens += min(1, a.rate/(1-reserveShare)/max(a.recent, 1e-3))
}

// wait tells whether the time has passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// take takes a token; arrives is true when a request is seen first.
func (d *Divider) take(ctx context.Context, workspace string, arrives bool) error {
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
	if arrives {
		a.count(now)
	}
	if now.Sub(a.renewed) >= renewal || a.limit != limit {
		a.limit = limit
		d.renew(workspace, a, now)
	}
	a.fill(now)
	if a.tokens < 1 && now.After(a.spent) {
		d.ask(ctx, workspace, a)
		a.fill(time.Now())
	}
	if a.tokens < 1 {
		wait := time.Duration((1 - a.tokens) / max(a.rate, 1e-3) * float64(time.Second))
		return &refuser.Error{Code: refuser.RateExceeded, Detail: refuser.Detail{RetryAfter: min(wait, time.Second), Note: a.note(workspace)}}
	}
	a.tokens--
	return nil
}

// note tells by what a request was refused.
func (a *account) note(workspace string) string {
	return fmt.Sprintf("Workspace %s has %.0f/s; here arrive %.1f/s, elsewhere %.1f/s; the part of this node is %.1f/s.",
		workspace, a.limit.Rate, a.arrivals, a.others, a.rate)
}

func (d *Divider) account(workspace string, limit resolver.Limit, now time.Time) *account {
	a := d.accounts[workspace]
	if a == nil {
		a = &account{limit: limit, filled: now, counted: now}
		d.accounts[workspace] = a
		d.renew(workspace, a, now)
		a.tokens = 1
	}
	return a
}

// count takes an arrival into the mean.
func (a *account) count(now time.Time) {
	a.fade(now)
	a.arrivals += float64(time.Second) / float64(memory)
	a.recent += float64(time.Second) / float64(recently)
}

func (a *account) fade(now time.Time) {
	a.arrivals *= math.Exp(-float64(now.Sub(a.counted)) / float64(memory))
	a.recent *= math.Exp(-float64(now.Sub(a.counted)) / float64(recently))
	a.counted = now
}

// fill adds the tokens of the time since the last request.
func (a *account) fill(now time.Time) {
	// Borrowed tokens may fill the bucket beyond its size.
	a.tokens = max(a.tokens, min(a.size, a.tokens+a.rate*now.Sub(a.filled).Seconds()))
	a.filled = now
}

// renew works out the part of this node.
func (d *Divider) renew(workspace string, a *account, now time.Time) {
	a.fill(now)
	a.fade(now)
	others, nodes := 0.0, 1.0
	for _, usages := range d.fleet.Usages() {
		nodes++
		for _, u := range usages {
			if u.GetWorkspace() == workspace {
				others += float64(u.GetArrivals())
			}
		}
	}
	if nodes == 1 {
		nodes = lonelyNodes
		others = a.arrivals * (lonelyNodes - 1)
	}
	a.others = others
	rate, size := d.whole(a.limit)
	a.rate = part((1-reserveShare)*rate, a.arrivals, others, nodes)
	a.size = max(leastTokens, (1-reserveShare)*size*a.rate/rate)
	a.renewed = now
}

// whole returns the rate and the size of one bucket for the whole fleet.
func (d *Divider) whole(l resolver.Limit) (rate, size float64) {
	spare := burstShare * (d.allowance.Overage*(l.Rate*d.allowance.Window.Seconds()+l.Burst) + d.allowance.Slack)
	return l.Rate * (1 + rateShare*d.allowance.Overage), l.Burst + spare
}

// part returns the part of a rate for a node with the given arrivals.
func part(rate, own, others, nodes float64) float64 {
	own, others = own+evenShare*((own+others)/nodes-own), others+evenShare*((own+others)*(nodes-1)/nodes-others)
	if sum := own + others; sum > rate {
		return rate * own / sum
	}
	return own + (rate-own-others)/nodes
}

// Usages returns what this node sees of each workspace.
func (d *Divider) Usages() []*schema.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list []*schema.Usage
	for workspace, a := range d.accounts {
		a.fade(now)
		if a.arrivals > unused {
			list = append(list, &schema.Usage{Workspace: workspace, Arrivals: float32(a.arrivals)})
		}
	}
	return list
}
