// Package shedder decides at the entry which requests the fleet can serve, so
// that work is refused before it has used any resources.
//
// Nodes exchange the rates of the requests that they receive from callers, by
// route and class. From these rates and from the cost of each route at every
// service, each node computes the work offered to each service, and from the speed
// of its upstreams the work that the service can do. If a service is overloaded,
// all nodes admit the same ratio of the requests of each route and class: higher
// classes first; within a class, routes that take clearly less slot time of the
// service first, since more callers are served that way; and at least a small
// ratio of each. A request is admitted if its rank is within the ratio of its route
// and class at every service that it reaches. Routes that do not use an overloaded
// service are not refused because of it.
//
// The measured utilization of a service corrects errors of the estimate.
//
// If upstreams of a service reject calls without being full, a request with many calls to
// it hardly has a chance to be served. Most requests of such a route are then refused.
//
// # Usage
//
//	r := shedder.New(fleet, costs)
//	go r.Run(ctx)
//	if err := r.Admit(call, class, rank); err != nil { ... }
//	r.StoreInflows("node-2", inflows) // and send r.Inflows() to other nodes
package shedder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

const (
	// decisionInterval is the time between two updates of the limits. Nodes send
	// the loads of their upstreams at the same interval.
	decisionInterval = 200 * time.Millisecond
	// peerInflowTTL is the time after which the inflows of another node are
	// discarded. Nodes send them twice a second.
	peerInflowTTL = 1500 * time.Millisecond
)

// Fleet provides the nodes and the load of their upstreams.
type Fleet interface {
	View() *gossiper.View
}

// CostSource provides the cost of a request of each route at every service that it
// reaches.
type CostSource interface {
	// KnownRoutes returns the routes whose costs are known.
	KnownRoutes() []string
	// Costs returns the slot time that a request of a route takes at each
	// service.
	Costs(route string) map[string]time.Duration
	// Counts returns the number of times that a request of a route reaches each
	// service.
	Counts(route string) map[string]float64
}

// Domains states the share of its usual load that each failure domain gets.
type Domains interface {
	Weight(domain string) float64
}

// allDomains is a Domains in which no domain is evacuated.
type allDomains struct{}

func (allDomains) Weight(string) float64 { return 1 }

// routeClass identifies a group of requests among which only the rank decides which
// are admitted. The route is given by its routeHash.
type routeClass struct {
	route uint32
	class schema.Class
}

// peerInflows holds the last inflows sent by another node.
type peerInflows struct {
	inflows    []*schema.Inflow
	receivedAt time.Time
}

// Shedder admits requests as far as the services that they reach have capacity.
type Shedder struct {
	fleet   Fleet
	costs   CostSource
	domains Domains

	mu sync.Mutex
	// local holds the inflows of this node, and peers those of the others by name.
	local map[routeClass]*inflow
	peers map[string]peerInflows
	// sent holds the inflows that this node sent last, which are as old as those of others.
	sent     []*schema.Inflow
	services map[string]*service
	// limits holds the limits of groups of which not all requests are admitted.
	limits map[routeClass]limit
}

// limit is the ratio of the requests of a group that is admitted.
type limit struct {
	admitRatio float64
	// service is the one that lowered the ratio last. Its utilization and load
	// are kept for the note to refused callers.
	service     string
	utilization float64
	load        float64
	// chance is set instead if the calls of a request are probably rejected: it is the
	// chance that all are accepted.
	chance float64
}

// refusal returns the refusal of a request.
func (l limit) refusal() error {
	if l.chance > 0 {
		note := fmt.Sprintf("Service %s rejects calls without being full; a request has a chance of %.3f that all its calls are accepted, and %.2f of the requests of this route and class are admitted.",
			l.service, l.chance, l.admitRatio)
		return &refuser.Error{Code: refuser.CallsRejected, Detail: refuser.Detail{Note: note}}
	}
	note := fmt.Sprintf("Service %s is offered %.2f times its capacity (slot utilization %.2f); %.2f of the requests of this route and class are admitted.",
		l.service, l.load, l.utilization, l.admitRatio)
	return &refuser.Error{Code: refuser.ShedAtEntry, Detail: refuser.Detail{Note: note}}
}

// Option configures a shedder.
type Option func(*Shedder)

// WithDomains counts the upstreams of a failure domain for the share of its usual load that
// it gets.
func WithDomains(d Domains) Option {
	return func(r *Shedder) { r.domains = d }
}

// New returns a shedder that admits all requests until it knows their rates and
// costs.
func New(f Fleet, c CostSource, opts ...Option) *Shedder {
	r := &Shedder{
		fleet: f, costs: c, domains: allDomains{},
		local: map[routeClass]*inflow{}, peers: map[string]peerInflows{}, services: map[string]*service{}, limits: map[routeClass]limit{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run updates the limits periodically until the context ends.
func (r *Shedder) Run(ctx context.Context) {
	repeater.RunAligned(ctx, decisionInterval, r.updateLimits)
}

// StoreInflows stores the inflows sent by another node, in place of its earlier
// ones.
func (r *Shedder) StoreInflows(node string, inflows []*schema.Inflow) {
	if len(inflows) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[node] = peerInflows{inflows, time.Now()}
}

// Inflows returns the inflows that this node sends to other nodes.
func (r *Shedder) Inflows() []*schema.Inflow {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list []*schema.Inflow
	for k, f := range r.local {
		f.decay(now)
		if f.offered < minRate {
			delete(r.local, k)
			continue
		}
		list = append(list, &schema.Inflow{Route: k.route, Class: k.class, Offered: float32(f.offered), Admitted: float32(f.admitted)})
	}
	r.sent = list
	return list
}

// Withdraw takes back the admission of a request that is refused for another reason. It
// still counts as offered.
func (r *Shedder) Withdraw(c *forwarder.Call, class schema.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.local[routeClass{routeHash(c.Route.Name), class}]; f != nil {
		f.decay(time.Now())
		f.admitted = max(0, f.admitted-ratePerRequest)
	}
}

// routeHash returns the hash that identifies a route in inflows.
func routeHash(route string) uint32 { return uint32(xxhash.Sum64String(route) >> 32) }

// Admit returns a *refuser.Error with code ShedAtEntry if a service that the call
// reaches has no capacity for it, and with code CallsRejected if one of its calls will
// probably be rejected.
func (r *Shedder) Admit(c *forwarder.Call, class schema.Class, rank uint32) error {
	now := time.Now()
	k := routeClass{routeHash(c.Route.Name), class}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.local[k]
	if f == nil {
		f = &inflow{decayedAt: now}
		r.local[k] = f
	}
	f.decay(now)
	f.offered += ratePerRequest
	l, limited := r.limits[k]
	if limited && !isOtherSplitService(c, l.service) && 1-(float64(rank)+0.5)/guard.RanksPerClass > l.admitRatio {
		return l.refusal()
	}
	f.admitted += ratePerRequest
	return nil
}

// isOtherSplitService reports whether the route of a call is split among services
// and the given service is one of them, but not the one that takes this call.
func isOtherSplitService(c *forwarder.Call, service string) bool {
	for _, p := range c.Route.Split {
		if p.Service == service {
			return service != c.Service
		}
	}
	return false
}

// updateLimits computes the ratio of requests to admit for each route and class.
func (r *Shedder) updateLimits() {
	view := r.fleet.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for node, p := range r.peers {
		if now.Sub(p.receivedAt) > peerInflowTTL {
			delete(r.peers, node)
		}
	}
	demands := r.demands(now)
	r.limits = map[routeClass]limit{}
	overloaded := r.overloadedServices(view, demands)
	r.limitByChance(demands)
	for _, s := range overloaded {
		s.allocate(demands)
		for _, d := range demands {
			if d.admitRatio < 1 && d.service == s.name {
				r.limits[d.routeClass] = limit{admitRatio: d.admitRatio, service: s.name, utilization: s.utilization, load: s.load}
			}
		}
	}
}

// ObserveCall does nothing: nodes send the load of their services to each other.
func (r *Shedder) ObserveCall(*forwarder.Call) {}

// Shares returns the work that each service can do as a share of the work offered
// to it; it is at most 1.
func (r *Shedder) Shares() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	shares := map[string]float64{}
	for name, s := range r.services {
		shares[name] = 1
		if s.load > 1 {
			shares[name] = 1 / s.load
		}
	}
	return shares
}
