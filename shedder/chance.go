package shedder

import (
	"math"

	"quetzalhub/schema"
)

const (
	// minChance is the chance that all calls of a request are accepted below which
	// requests are refused. A refused caller that comes back later has a better one.
	minChance = 0.1
	// minChanceRatio is the ratio of requests that are admitted whatever their chance,
	// so that the end of the rejections is noticed.
	minChanceRatio = 0.05
	// acceptanceExponent is the power of the success rate by which the balancer weights
	// upstreams, so that few calls reach those that reject many.
	acceptanceExponent = 10
	// minAcceptanceWeight is the smallest weight of an upstream in the acceptance.
	minAcceptanceWeight = 0.005
)

// acceptance returns the share of the calls to a service that its upstreams do not
// reject. Rejections come from upstreams that are not overloaded too.
func acceptance(members []*schema.Member, domains Domains) float64 {
	total, accepted := 0.0, 0.0
	for _, m := range members {
		domainWeight := domains.Weight(m.GetDomain())
		for _, e := range m.GetEndpoints() {
			weight := domainWeight * float64(e.GetLimit()) * max(math.Pow(1-float64(e.GetFailing()), acceptanceExponent), minAcceptanceWeight)
			total += weight
			accepted += weight * (1 - float64(e.GetRejecting()))
		}
	}
	if total == 0 {
		return 1
	}
	return accepted / total
}

// limitByChance lowers the admit ratios of demands whose requests hardly have a chance
// that all their calls are accepted. All the work done for the others would be lost.
func (r *Shedder) limitByChance(demands []*demand) {
	for _, d := range demands {
		chance, lowest, service := 1.0, 1.0, ""
		for name, count := range d.counts {
			s := r.services[name]
			if s == nil || s.acceptance >= 1 {
				continue
			}
			accepted := math.Pow(s.acceptance, count)
			chance *= accepted
			if accepted < lowest {
				lowest, service = accepted, name
			}
		}
		if chance >= minChance {
			continue
		}
		d.admitRatio *= max(chance/minChance, minChanceRatio)
		r.limits[d.routeClass] = limit{admitRatio: d.admitRatio, service: service, chance: chance}
	}
}
