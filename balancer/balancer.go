// Package balancer chooses the node that gets a call.
//
// Of two nodes picked at random among those beside ready upstreams of the
// service, the one with the smaller expected wait is chosen: its calls under
// way times its mean latency as seen from here. Nodes that refused or could
// not be reached lately are passed over while others are left. Nodes of the
// same region come first while they suffice.
//
// # Usage
//
//	b := balancer.New(gossiper, "south")
//	go b.Run(ctx)
//	target, ok := b.Pick("orders", tried)
//	...
//	target.Done(balancer.Answered, latency)
package balancer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
	"quetzalhub/util/set"
)

// Result tells how a call ended.
type Result int

// Results of calls.
const (
	Answered Result = iota
	// Refused means that the node refused for overload.
	Refused
	// Unreachable means that the node could not be reached or fell silent.
	Unreachable
	// Abandoned means that the caller left or ran out of time; it says nothing
	// of the node.
	Abandoned
	// Failed means that the upstream beside the node failed the call.
	Failed
)

const (
	// refusedPause is the time for which a node that refused is passed over.
	refusedPause = 50 * time.Millisecond
	// unreachablePause is the time for which an unreachable node is passed over.
	unreachablePause = time.Second
	// forgetInterval is the time between two looks for nodes that are gone.
	forgetInterval = time.Minute
	// weight is the weight of a new latency in the mean.
	weight = 0.1
	// tries is the number of random picks made to find an untried node.
	tries = 6
)

// Directory lists the nodes beside ready upstreams of a service.
type Directory interface {
	View() *gossiper.View
}

// Balancer chooses nodes.
type Balancer struct {
	directory Directory
	region    string
	// domain is set if nodes are chosen by the room that they tell.
	domain string
	// tracks holds a *track for each start of a node.
	tracks sync.Map
}

type trackID struct {
	name        string
	incarnation uint64
}

// track is what this node knows of another one from calls made to it.
type track struct {
	active  atomic.Int64
	latency atomic.Uint64
	// avoid is the time until which the node is passed over, in nanoseconds
	// since the Unix epoch.
	avoid atomic.Int64
	// failing is the share of calls that the upstream failed of late.
	failing atomic.Uint64
	// judged is the time of the last word on that, in nanoseconds since the
	// Unix epoch.
	judged atomic.Int64
	// load is what the node told last of its upstream.
	load atomic.Pointer[load]
}

// Target is a chosen node.
type Target struct {
	Member *schema.Member
	track  *track
}

// New returns a balancer for a node of a region.
func New(d Directory, region string, opts ...Option) *Balancer {
	b := &Balancer{directory: d, region: region}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Option changes a balancer.
type Option func(*Balancer)

// ByCapacity chooses among all nodes by the spare capacity that they report, those of the
// given failure domain first.
func ByCapacity(domain string) Option {
	return func(b *Balancer) { b.domain = domain }
}

// Pick chooses a node for a call to a service, none of those tried before.
func (b *Balancer) Pick(service string, tried set.Set[string]) (*Target, bool) {
	members := b.directory.View().Service(service)
	if b.domain != "" {
		return b.pickByRoom(service, members, tried)
	}
	first := b.draw(members, tried)
	if first == nil {
		return nil, false
	}
	best := b.target(first)
	if second := b.draw(members, tried); second != nil {
		if other := b.target(second); b.score(other) < b.score(best) {
			best = other
		}
	}
	best.track.active.Add(1)
	return best, true
}

// PickIndex returns the node at a place in the list of those of the service, counted
// round.
func (b *Balancer) PickIndex(service string, place uint64) (*Target, bool) {
	members := b.directory.View().Service(service)
	if len(members) == 0 {
		return nil, false
	}
	t := b.target(members[place%uint64(len(members))])
	t.track.active.Add(1)
	return t, true
}

// draw returns a random untried node, or any untried one if luck fails.
func (b *Balancer) draw(members []*schema.Member, tried set.Set[string]) *schema.Member {
	for range tries {
		if len(members) == 0 {
			return nil
		}
		m := members[rand.IntN(len(members))]
		if !tried.Has(m.GetName()) && !b.avoided(m) {
			return m
		}
	}
	var left *schema.Member
	for _, m := range members {
		if tried.Has(m.GetName()) {
			continue
		}
		left = m
		if !b.avoided(m) {
			return m
		}
	}
	return left
}

func (b *Balancer) avoided(m *schema.Member) bool {
	return time.Now().UnixNano() < b.track(m).avoid.Load()
}

func (b *Balancer) track(m *schema.Member) *track {
	id := trackID{m.GetName(), m.GetIncarnation()}
	if t, ok := b.tracks.Load(id); ok {
		return t.(*track)
	}
	t, _ := b.tracks.LoadOrStore(id, &track{})
	return t.(*track)
}

func (b *Balancer) target(m *schema.Member) *Target {
	return &Target{Member: m, track: b.track(m)}
}

// score returns the expected wait at a node; nodes of other regions count
// double.
func (b *Balancer) score(t *Target) float64 {
	latency := math.Float64frombits(t.track.latency.Load())
	score := float64(t.track.active.Load()+1) * max(latency, 1e-6)
	if t.Member.GetRegion() != b.region {
		score *= 2
	}
	return score
}

// Run forgets nodes that are no longer in the fleet, until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	repeater.Run(ctx, forgetInterval, b.forget)
}

func (b *Balancer) forget() {
	members := b.directory.View().Members
	b.tracks.Range(func(key, _ any) bool {
		id := key.(trackID)
		if m := members[id.name]; m == nil || m.GetIncarnation() != id.incarnation {
			b.tracks.Delete(key)
		}
		return true
	})
}

// Done records how a call ended.
func (t *Target) Done(r Result, latency time.Duration) {
	t.track.active.Add(-1)
	t.track.fail(r == Failed || r == Unreachable, r == Refused || r == Abandoned)
	switch r {
	case Answered, Failed:
		t.learn(latency)
	case Refused:
		t.track.avoid.Store(time.Now().Add(refusedPause).UnixNano())
	case Unreachable:
		t.track.avoid.Store(time.Now().Add(unreachablePause).UnixNano())
	}
}

func (t *Target) learn(latency time.Duration) {
	old := math.Float64frombits(t.track.latency.Load())
	next := latency.Seconds()
	if old > 0 {
		next = old + weight*(next-old)
	}
	t.track.latency.Store(math.Float64bits(next))
}
