package regulator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalhub/schema"
)

const (
	// memory is the time constant of the rates of requests. A shorter one
	// follows a surge sooner and its chance variations as well.
	memory = time.Second
	// leastRate is the number of requests a second below which a route is left
	// out.
	leastRate = 0.05
	// clearlyMore is the ratio from which costs count as different.
	clearlyMore = 1.6
)

// perRequest is what one request adds to a rate, in requests a second.
var perRequest = float64(time.Second) / float64(memory)

// inflow is the rate of the requests of one route and class at this node.
type inflow struct {
	offered  float64
	admitted float64
	faded    time.Time
}

// fade lets earlier requests count less.
func (f *inflow) fade(now time.Time) {
	factor := math.Exp(-float64(now.Sub(f.faded)) / float64(memory))
	f.offered *= factor
	f.admitted *= factor
	f.faded = now
}

// offer is what callers ask of the whole fleet by requests of one route and
// class.
type offer struct {
	key
	// offered and admitted are in requests a second.
	offered  float64
	admitted float64
	// costs are slot times in seconds and counts are arrivals, by service.
	costs  map[string]float64
	counts map[string]float64
	// part is the part that all services looked at so far have room for, and
	// service the one that allows no more.
	part    float64
	service string
}

// offers adds up what all nodes told; the caller holds the lock.
func (r *Regulator) offers(now time.Time) []*offer {
	routes := map[uint32]string{}
	for _, name := range r.costs.KnownRoutes() {
		routes[identify(name)] = name
	}
	sums := map[key]*offer{}
	add := func(k key, offered, admitted float64) {
		name, ok := routes[k.route]
		if !ok {
			return
		}
		o := sums[k]
		if o == nil {
			o = &offer{key: k, part: 1, costs: map[string]float64{}, counts: r.costs.Counts(name)}
			for service, cost := range r.costs.Costs(name) {
				o.costs[service] = cost.Seconds()
			}
			sums[k] = o
		}
		o.offered += offered
		o.admitted += admitted
	}
	for k, f := range r.own {
		f.fade(now)
		add(k, f.offered, f.admitted)
	}
	for _, t := range r.others {
		for _, f := range t.inflows {
			add(key{f.GetRoute(), f.GetClass()}, float64(f.GetOffered()), float64(f.GetAdmitted()))
		}
	}
	list := make([]*offer, 0, len(sums))
	for _, o := range sums {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *offer) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.route, b.route))
	})
	return list
}

// work returns the slot seconds a second that the offer asks of a service, as
// far as the other services have room.
func (o *offer) work(service string) float64 { return o.part * o.offered * o.costs[service] }

// ranked returns the offers to a service in groups of equals, the one that is
// admitted first before the others.
func ranked(offers []*offer, service string) [][]*offer {
	var list []*offer
	for _, o := range offers {
		if o.costs[service] > 0 {
			list = append(list, o)
		}
	}
	slices.SortStableFunc(list, func(a, b *offer) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.costs[service], b.costs[service]))
	})
	var groups [][]*offer
	class, least := schema.Class(-1), 0.0
	for _, o := range list {
		if o.class != class || o.costs[service] > clearlyMore*least {
			groups = append(groups, nil)
			class, least = o.class, o.costs[service]
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], o)
	}
	return groups
}
