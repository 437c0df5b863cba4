// Package balancer selects the node that receives a call.
//
// Two nodes are picked at random among those beside ready upstreams of the
// service (power of two choices), and the one with the smaller expected wait is
// selected: its active calls times its mean latency, both measured at this node.
// Nodes that recently refused a call or were unreachable are skipped while others
// are left. A node of another region counts as having twice the expected wait.
//
// With the option ByCapacity, nodes are instead selected at random by weights
// that follow the spare capacity that they report. Failure domains that are evacuated lose their
// weight gradually. PickInTime then also avoids upstreams
// at which the call would probably not end in time.
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
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
	"quetzalhub/util/set"
)

// Result is the way in which a call ended.
type Result int

// Results of calls.
const (
	Answered Result = iota
	// Refused means that the node refused the call because of overload.
	Refused
	// Unreachable means that the node was unreachable or stopped responding.
	Unreachable
	// Abandoned means that the caller disconnected or its deadline passed. It
	// is not counted for or against the node.
	Abandoned
	// Failed means that the upstream beside the node failed the call.
	Failed
	// Cold means that the node refused the call because its upstream is cold and gets as
	// many as it bears.
	Cold
)

const (
	// refusedBackoff is the time for which a node that refused is avoided.
	refusedBackoff = 50 * time.Millisecond
	// coldBackoff is the time for which a node with a cold upstream that bears no more is
	// avoided. Such an upstream takes one request in about this time, from all nodes.
	coldBackoff = 100 * time.Millisecond
	// unreachableBackoff is the time for which an unreachable node is avoided.
	unreachableBackoff = time.Second
	// cleanupInterval is the time between removals of statistics of nodes that
	// are no longer members.
	cleanupInterval = time.Minute
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// maxRandomPicks is the number of random picks before the list is scanned
	// for a usable node.
	maxRandomPicks = 6
)

// Directory provides the member table with the nodes of each service.
type Directory interface {
	View() *gossiper.View
}

// Balancer selects nodes for calls.
type Balancer struct {
	directory Directory
	region    string
	// domain is the failure domain of this node. If it is set, nodes are
	// selected by spare capacity.
	domain  string
	memory  Memory
	domains Domains
	// stats holds a *nodeStats for each nodeID.
	stats sync.Map
}

// Memory remembers what instances of upstreams have stated about themselves.
type Memory interface {
	// RecordEndpoint records what a node reports of its upstream.
	RecordEndpoint(e *schema.Endpoint)
	// Departed reports whether an instance of an upstream has announced that it leaves.
	Departed(id string, born int64) bool
}

// Domains states the share of its usual load that each failure domain gets. Nodes of a
// domain with a share of zero are not selected.
type Domains interface {
	Weight(domain string) float64
}

// allDomains is a Domains in which no domain is evacuated.
type allDomains struct{}

func (allDomains) Weight(string) float64 { return 1 }

// noMemory remembers nothing.
type noMemory struct{}

func (noMemory) RecordEndpoint(*schema.Endpoint) {}
func (noMemory) Departed(string, int64) bool     { return false }

// nodeID identifies one incarnation of a node.
type nodeID struct {
	name        string
	incarnation uint64
}

// nodeStats holds what this node has measured and received about another one.
type nodeStats struct {
	active  atomic.Int64
	latency atomic.Uint64
	// avoidUntil is the time until which the node is avoided, in nanoseconds
	// since the Unix epoch.
	avoidUntil atomic.Int64
	// failureRate is the moving average of the share of calls that failed, as
	// the bits of a float64.
	failureRate atomic.Uint64
	// failureRateAt is the time of the last update of the measured or reported
	// failure rate, in nanoseconds since the Unix epoch.
	failureRateAt atomic.Int64
	// load is the last load report of the node.
	load atomic.Pointer[loadReport]
}

// Target is a selected node.
type Target struct {
	Member *schema.Member
	stats  *nodeStats
	memory Memory
}

// New returns a balancer for a node of a region.
func New(d Directory, region string, opts ...Option) *Balancer {
	b := &Balancer{directory: d, region: region, memory: noMemory{}, domains: allDomains{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Option configures a balancer.
type Option func(*Balancer)

// ByCapacity selects among all nodes by the spare capacity that they report and
// prefers those of the given failure domain.
func ByCapacity(domain string) Option {
	return func(b *Balancer) { b.domain = domain }
}

// WithMemory excludes instances of upstreams that have left, and records what nodes
// report of their upstreams.
func WithMemory(m Memory) Option {
	return func(b *Balancer) { b.memory = m }
}

// WithDomains selects nodes of a failure domain less often, or not at all, by the share of
// its usual load that it gets.
func WithDomains(d Domains) Option {
	return func(b *Balancer) { b.domains = d }
}

// Pick selects a node for a call to a service, excluding those already tried. It
// returns false if no node is left.
func (b *Balancer) Pick(service string, tried set.Set[string]) (*Target, bool) {
	return b.PickInTime(service, Need{}, tried)
}

// pickByWait selects the better one of two random nodes.
func (b *Balancer) pickByWait(service string, members []*schema.Member, tried set.Set[string]) (*Target, bool) {
	first := b.pickRandom(service, members, tried)
	if first == nil {
		return nil, false
	}
	best := b.target(first)
	if second := b.pickRandom(service, members, tried); second != nil {
		if other := b.target(second); b.score(other) < b.score(best) {
			best = other
		}
	}
	best.stats.active.Add(1)
	return best, true
}

// PickHashed selects a node for a key by rendezvous hashing: all nodes of the fleet select
// the same one, and another one only while that is not available.
func (b *Balancer) PickHashed(service string, need Need, key uint64, tried set.Set[string]) (*Target, bool) {
	var best *schema.Member
	highest := uint64(0)
	for _, m := range b.members(service, need) {
		if tried.Has(m.GetName()) || b.isAvoided(m) || b.isClosed(service, m) || need.Skip != nil && need.Skip(m.GetName()) {
			continue
		}
		if hash := xxhash.Sum64String(strconv.FormatUint(key, 36) + m.GetName()); best == nil || hash > highest {
			best, highest = m, hash
		}
	}
	if best == nil {
		return nil, false
	}
	t := b.target(best)
	t.stats.active.Add(1)
	return t, true
}

// PickIndex selects the node at an index, modulo their number, in the list of
// nodes of a service.
func (b *Balancer) PickIndex(service string, need Need, index uint64) (*Target, bool) {
	members := b.members(service, need)
	if slices.ContainsFunc(members, b.isEvacuated) {
		members = slices.DeleteFunc(slices.Clone(members), b.isEvacuated)
	}
	if len(members) == 0 {
		return nil, false
	}
	t := b.target(members[index%uint64(len(members))])
	t.stats.active.Add(1)
	return t, true
}

// pickRandom returns a random untried node that is not avoided. After
// maxRandomPicks failed picks it returns the first such node, or else any untried
// one.
func (b *Balancer) pickRandom(service string, members []*schema.Member, tried set.Set[string]) *schema.Member {
	for range maxRandomPicks {
		if len(members) == 0 {
			return nil
		}
		m := members[rand.IntN(len(members))]
		if tried.Has(m.GetName()) || b.isAvoided(m) || b.isClosed(service, m) {
			continue
		}
		if weight := b.domains.Weight(m.GetDomain()); weight >= 1 || rand.Float64() < weight {
			return m
		}
	}
	var left *schema.Member
	for _, m := range members {
		if tried.Has(m.GetName()) || b.isClosed(service, m) {
			continue
		}
		left = m
		if !b.isAvoided(m) {
			return m
		}
	}
	return left
}

// hasDeparted reports whether the upstream of a service beside a node has announced
// that it leaves, whatever the node itself knows.
func (b *Balancer) hasDeparted(service string, m *schema.Member) bool {
	for _, e := range m.GetEndpoints() {
		if e.GetService() == service {
			return b.memory.Departed(e.GetInstance().GetId(), e.GetInstance().GetBorn())
		}
	}
	return false
}

// isEvacuated reports whether the failure domain of a node gets no calls.
func (b *Balancer) isEvacuated(m *schema.Member) bool { return b.domains.Weight(m.GetDomain()) <= 0 }

// isClosed reports whether a node must not be selected.
func (b *Balancer) isClosed(service string, m *schema.Member) bool {
	return b.hasDeparted(service, m) || b.isEvacuated(m)
}

func (b *Balancer) isAvoided(m *schema.Member) bool {
	return time.Now().UnixNano() < b.statsOf(m).avoidUntil.Load()
}

func (b *Balancer) statsOf(m *schema.Member) *nodeStats {
	id := nodeID{m.GetName(), m.GetIncarnation()}
	if s, ok := b.stats.Load(id); ok {
		return s.(*nodeStats)
	}
	s, _ := b.stats.LoadOrStore(id, &nodeStats{})
	return s.(*nodeStats)
}

func (b *Balancer) target(m *schema.Member) *Target {
	return &Target{Member: m, stats: b.statsOf(m), memory: b.memory}
}

// score returns the expected wait at a node. The wait of nodes of other regions
// is doubled.
func (b *Balancer) score(t *Target) float64 {
	latency := math.Float64frombits(t.stats.latency.Load())
	score := float64(t.stats.active.Load()+1) * max(latency, 1e-6)
	if t.Member.GetRegion() != b.region {
		score *= 2
	}
	return score
}

// Run removes the statistics of nodes that are no longer members, until the
// context ends.
func (b *Balancer) Run(ctx context.Context) {
	repeater.Run(ctx, cleanupInterval, b.removeStale)
}

func (b *Balancer) removeStale() {
	members := b.directory.View().Members
	b.stats.Range(func(key, _ any) bool {
		id := key.(nodeID)
		if m := members[id.name]; m == nil || m.GetIncarnation() != id.incarnation {
			b.stats.Delete(key)
		}
		return true
	})
}

// Done records the result and the latency of a call. It must be called once for
// each selected node.
func (t *Target) Done(r Result, latency time.Duration) {
	t.stats.active.Add(-1)
	t.stats.recordOutcome(r == Failed || r == Unreachable, r == Refused || r == Abandoned || r == Cold)
	switch r {
	case Answered, Failed:
		t.updateLatency(latency)
	case Refused:
		t.stats.avoidUntil.Store(time.Now().Add(refusedBackoff).UnixNano())
	case Cold:
		t.stats.avoidUntil.Store(time.Now().Add(coldBackoff).UnixNano())
	case Unreachable:
		t.stats.avoidUntil.Store(time.Now().Add(unreachableBackoff).UnixNano())
	}
}

func (t *Target) updateLatency(latency time.Duration) {
	old := math.Float64frombits(t.stats.latency.Load())
	next := latency.Seconds()
	if old > 0 {
		next = old + latencyWeight*(next-old)
	}
	t.stats.latency.Store(math.Float64bits(next))
}
