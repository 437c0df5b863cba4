// Package regulator decides at the entrance which requests the fleet has room
// for, so that work is refused before it has cost anything.
//
// Nodes tell each other the requests that callers send them, by route and
// class. From these and from what a request of each route costs at every
// service on its way, each node works out the work offered to a service, and
// from the speed of its upstreams the work that it can do. If more is offered,
// all nodes admit the same part of each route and class: the more important
// first, among equals those that take clearly less of the service, since more
// callers are served so, and of each at least a small part. A request passes
// if its rank is within the part of its route and class at every service on
// its way. Routes that don't use an overloaded service are not refused for its
// sake.
//
// How well a service is used corrects what the estimate misses.
//
// # Usage
//
//	r := regulator.New(fleet, costs)
//	go r.Run(ctx)
//	if err := r.Admit(call, class, rank); err != nil { ... }
//	r.Hear("node-2", inflows) // and tell others r.Inflows()
package regulator

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
	// tick is the time between two decisions; loads are told that often.
	tick = 200 * time.Millisecond
	// lapse is the time after which what a node told of its callers is not
	// used any more. Inflows are told twice a second.
	lapse = 1500 * time.Millisecond
)

// Fleet knows the nodes and the load of their upstreams.
type Fleet interface {
	View() *gossiper.View
}

// Costs tells what requests take at each service on their way.
type Costs interface {
	// Known returns the routes whose costs are known.
	Known() []string
	// Costs returns the slot time that a request of a route takes by service.
	Costs(route string) map[string]time.Duration
	// Counts returns the number of times that it reaches each service.
	Counts(route string) map[string]float64
}

// key names the requests among which only the rank decides.
type key struct {
	route uint32
	class schema.Class
}

// told is what another node told of its callers.
type told struct {
	inflows []*schema.Inflow
	at      time.Time
}

// Regulator admits requests.
type Regulator struct {
	fleet Fleet
	costs Costs

	mu       sync.Mutex
	own      map[key]*inflow
	others   map[string]told
	services map[string]*service
	// limits holds the parts to admit where they are below one.
	limits map[key]limit
}

// limit is the part of the requests of a key that is admitted.
type limit struct {
	part float64
	// service is the one that allows least.
	service string
	use     float64
	load    float64
}

// New returns a regulator that admits everything until it has heard what
// callers ask and what that costs.
func New(f Fleet, c Costs) *Regulator {
	return &Regulator{
		fleet: f, costs: c,
		own: map[key]*inflow{}, others: map[string]told{}, services: map[string]*service{}, limits: map[key]limit{},
	}
}

// Run decides again and again until the context ends.
func (r *Regulator) Run(ctx context.Context) { repeater.Run(ctx, tick, r.decide) }

// Hear takes in what another node told of its callers.
func (r *Regulator) Hear(node string, inflows []*schema.Inflow) {
	if len(inflows) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others[node] = told{inflows, time.Now()}
}

// Inflows returns what this node tells of its callers.
func (r *Regulator) Inflows() []*schema.Inflow {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list []*schema.Inflow
	for k, f := range r.own {
		f.fade(now)
		if f.offered < leastRate {
			delete(r.own, k)
			continue
		}
		list = append(list, &schema.Inflow{Route: k.route, Class: k.class, Offered: float32(f.offered), Admitted: float32(f.admitted)})
	}
	return list
}

// identify returns the short name of a route.
func identify(route string) uint32 { return uint32(xxhash.Sum64String(route) >> 32) }

// Admit returns a *refuser.Error with code ShedAtEntry if a service on the way
// of a call has no room for it.
func (r *Regulator) Admit(c *forwarder.Call, class schema.Class, rank uint32) error {
	now := time.Now()
	k := key{identify(c.Route.Name), class}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.own[k]
	if f == nil {
		f = &inflow{faded: now}
		r.own[k] = f
	}
	f.fade(now)
	f.offered += perRequest
	l, limited := r.limits[k]
	if limited && !isOtherPart(c, l.service) && 1-(float64(rank)+0.5)/guard.RankLimit > l.part {
		note := fmt.Sprintf("Service %s is offered %.2f times what it can do and used to %.2f; %.2f of the requests of this route and class are admitted.",
			l.service, l.load, l.use, l.part)
		return &refuser.Error{Code: refuser.ShedAtEntry, Detail: refuser.Detail{Note: note}}
	}
	f.admitted += perRequest
	return nil
}

// isOtherPart tells whether a service takes other requests of a split route.
func isOtherPart(c *forwarder.Call, service string) bool {
	for _, p := range c.Route.Parts {
		if p.Service == service {
			return service != c.Service
		}
	}
	return false
}

// decide works out which part of each route and class is admitted.
func (r *Regulator) decide() {
	view := r.fleet.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for node, t := range r.others {
		if now.Sub(t.at) > lapse {
			delete(r.others, node)
		}
	}
	offers := r.offers(now)
	r.limits = map[key]limit{}
	for _, s := range r.loaded(view, offers) {
		s.divide(offers)
		for _, o := range offers {
			if o.part < 1 && o.service == s.name {
				r.limits[o.key] = limit{o.part, s.name, s.use, s.load}
			}
		}
	}
}

// ObserveCall does nothing: the load of services is told by their nodes.
func (r *Regulator) ObserveCall(*forwarder.Call) {}

// Shares returns the work that each service can do as a share of what is
// offered to it.
func (r *Regulator) Shares() map[string]float64 {
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
