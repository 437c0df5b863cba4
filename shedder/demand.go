package shedder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalhub/schema"
)

const (
	// rateTimeConstant is the time constant of the decay of request rates. A
	// shorter one follows a surge sooner, but also random variations.
	rateTimeConstant = time.Second
	// minRate is the rate, in requests per second, below which the requests of a
	// route and class are ignored.
	minRate = 0.05
	// costGroupRatio is the ratio of two costs above which they are treated as
	// different.
	costGroupRatio = 1.6
)

// ratePerRequest is what one request adds to a decaying rate, in requests per
// second.
var ratePerRequest = float64(time.Second) / float64(rateTimeConstant)

// inflow holds the rates, in requests per second, of the requests of one route and
// class at this node.
type inflow struct {
	offered   float64
	admitted  float64
	decayedAt time.Time
}

// decay applies the exponential decay since decayedAt to the rates.
func (f *inflow) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(f.decayedAt)) / float64(rateTimeConstant))
	f.offered *= factor
	f.admitted *= factor
	f.decayedAt = now
}

// demand holds the rates of the requests of one route and class at all nodes.
type demand struct {
	routeClass
	// offered and admitted are in requests per second.
	offered  float64
	admitted float64
	// costs are slot times in seconds and counts are numbers of arrivals of one
	// request, by service.
	costs  map[string]float64
	counts map[string]float64
	// admitRatio is the ratio of the requests for which all services considered
	// so far have capacity, and service is the one that lowered it last.
	admitRatio float64
	service    string
}

// demands adds up the inflows of all nodes; the caller holds the lock.
func (r *Shedder) demands(now time.Time) []*demand {
	routes := map[uint32]string{}
	for _, name := range r.costs.KnownRoutes() {
		routes[routeHash(name)] = name
	}
	sums := map[routeClass]*demand{}
	add := func(k routeClass, offered, admitted float64) {
		name, ok := routes[k.route]
		if !ok {
			return
		}
		d := sums[k]
		if d == nil {
			d = &demand{routeClass: k, admitRatio: 1, costs: map[string]float64{}, counts: r.costs.Counts(name)}
			for service, cost := range r.costs.Costs(name) {
				d.costs[service] = cost.Seconds()
			}
			sums[k] = d
		}
		d.offered += offered
		d.admitted += admitted
	}
	for k, f := range r.local {
		f.decay(now)
		add(k, f.offered, f.admitted)
	}
	for _, p := range r.peers {
		for _, f := range p.inflows {
			add(routeClass{f.GetRoute(), f.GetClass()}, float64(f.GetOffered()), float64(f.GetAdmitted()))
		}
	}
	list := make([]*demand, 0, len(sums))
	for _, d := range sums {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.route, b.route))
	})
	return list
}

// work returns the work, in slot seconds per second, that the demand puts on a
// service as far as the other services have capacity.
func (d *demand) work(service string) float64 { return d.admitRatio * d.offered * d.costs[service] }

// priorityGroups returns the demands on a service in groups of equal priority,
// highest first: by class, then by cost at the service.
func priorityGroups(demands []*demand, service string) [][]*demand {
	var list []*demand
	for _, d := range demands {
		if d.costs[service] > 0 {
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.costs[service], b.costs[service]))
	})
	var groups [][]*demand
	class, minCost := schema.Class(-1), 0.0
	for _, d := range list {
		if d.class != class || d.costs[service] > costGroupRatio*minCost {
			groups = append(groups, nil)
			class, minCost = d.class, d.costs[service]
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], d)
	}
	return groups
}
