package shedder

import "quetzalhub/schema"

// Offer is the number of arrivals per second that callers' requests offer to a service.
type Offer struct {
	// Local is what arrives at this node, and Fleet the sum over this and the other nodes
	// whose inflows are known.
	Local, Fleet float64
	// Nodes is the number of nodes in Fleet.
	Nodes int
}

// Offers returns the arrivals offered to each service, as nodes last told each other. It is
// empty until this node has sent its inflows.
func (r *Shedder) Offers() map[string]Offer {
	r.mu.Lock()
	defer r.mu.Unlock()
	offers := map[string]Offer{}
	if len(r.sent) == 0 {
		return offers
	}
	counts := map[uint32]map[string]float64{}
	for _, name := range r.costs.KnownRoutes() {
		counts[routeHash(name)] = r.costs.Counts(name)
	}
	add := func(inflows []*schema.Inflow, local bool) {
		for _, f := range inflows {
			for service, count := range counts[f.GetRoute()] {
				o := offers[service]
				o.Fleet += float64(f.GetOffered()) * count
				if local {
					o.Local += float64(f.GetOffered()) * count
				}
				o.Nodes = 1 + len(r.peers)
				offers[service] = o
			}
		}
	}
	add(r.sent, true)
	for _, p := range r.peers {
		add(p.inflows, false)
	}
	return offers
}
