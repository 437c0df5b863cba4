package shedder

import (
	"cmp"
	"slices"
	"time"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

const (
	// targetUtilization is the utilization of a service's slots, including queued
	// requests, at which no slot is free and few requests are queued.
	targetUtilization = 1.0
	// minCapacityFactor and maxCapacityFactor bound the correction of the
	// capacity estimate.
	minCapacityFactor, maxCapacityFactor = 0.6, 1.5
	// correctionStep is the part of the difference between target and measured
	// utilization by which the estimate is corrected in each decisionInterval.
	// It is small since admitted work takes several intervals to reach a service.
	correctionStep = 0.03
	// idleUtilization is the utilization below which the estimate must be wrong
	// if requests are refused. It is then corrected by idleCorrectionStep.
	idleUtilization, idleCorrectionStep = 0.5, 0.1
	// drainRatio is the part of the budget that is withheld while requests are
	// queued, so that the queue drains. It is withheld once for each time that
	// the queued requests could fill all slots of the service.
	drainRatio = 0.15
	// minBudgetFactor is the smallest factor applied to the capacity estimate, so
	// that some callers are served while many requests are queued.
	minBudgetFactor = 0.3
	// minEvenShare is the share of a service's budget that is divided evenly
	// among all routes and classes regardless of priority, so that none is shut
	// out. It grows to maxEvenShare as the ratio of the budget to the offered work
	// falls from evenGrowthStart to evenGrowthEnd: if only the highest classes
	// were served then, and their requests take most of the work, hardly any
	// caller would be.
	minEvenShare, maxEvenShare     = 0.3, 0.8
	evenGrowthStart, evenGrowthEnd = 0.4, 0.2
	// defaultLatency is assumed for an upstream that has not reported a latency.
	defaultLatency = 100 * time.Millisecond
)

// service holds the estimated capacity and the load of one service.
type service struct {
	name string
	// capacityFactor corrects the estimated capacity by the measured
	// utilization.
	capacityFactor float64
	utilization    float64
	// budget is the work that the service can do, in slot seconds per second.
	budget float64
	// load is the ratio of the offered work to the budget.
	load float64
	// acceptance is the share of the calls that the upstreams do not reject.
	acceptance float64
}

// overloadedServices returns the services to which more work is offered than they
// can do, the most loaded one first; the caller holds the lock.
func (r *Shedder) overloadedServices(view *gossiper.View, demands []*demand) []*service {
	names := map[string]bool{}
	for _, d := range demands {
		for name := range d.costs {
			names[name] = true
		}
	}
	var list []*service
	for name := range names {
		s := r.services[name]
		if s == nil {
			s = &service{name: name, capacityFactor: 1}
			r.services[name] = s
		}
		s.updateLoad(view.Service(name), r.domains, demands)
		if s.load > 1 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(b.load, a.load) })
	return list
}

// updateLoad computes the budget of a service and the work offered to it.
func (s *service) updateLoad(members []*schema.Member, domains Domains, demands []*demand) {
	rate, utilization := capacity(members, domains)
	s.utilization, s.acceptance = utilization, acceptance(members, domains)
	if s.load > 1 {
		step := correctionStep
		if utilization < idleUtilization {
			step = idleCorrectionStep
		}
		s.capacityFactor = min(max(s.capacityFactor+step*(targetUtilization-utilization), minCapacityFactor), maxCapacityFactor)
	} else {
		s.capacityFactor += correctionStep * (1 - s.capacityFactor)
	}
	offered, mean := 0.0, meanSlotTime(demands, s.name)
	for _, d := range demands {
		offered += d.work(s.name)
	}
	s.budget = rate * mean * max(s.capacityFactor-drainRatio*max(utilization-targetUtilization, 0), minBudgetFactor)
	s.load = 0
	if s.budget > 0 {
		s.load = offered / s.budget
	}
}

// capacity returns the requests per second that the upstreams of a service can
// serve, and the utilization of this rate. Free slots of a slow upstream count
// little, so that they do not hide that fast upstreams are full. An upstream counts for the
// share of its usual load that its failure domain gets.
func capacity(members []*schema.Member, domains Domains) (rate, utilization float64) {
	usedRate := 0.0
	for _, m := range members {
		weight := domains.Weight(m.GetDomain())
		for _, e := range m.GetEndpoints() {
			latency := e.GetLatency().AsDuration()
			if latency <= 0 {
				latency = defaultLatency
			}
			endpointRate := float64(e.GetLimit()) / latency.Seconds()
			if e.GetRate() > 0 {
				endpointRate = min(endpointRate, e.GetRate())
			}
			if e.GetIntake() > 0 {
				endpointRate = min(endpointRate, e.GetIntake())
			}
			usedRate += weight * float64(e.GetBusy()) / latency.Seconds()
			rate += weight * endpointRate
		}
	}
	if rate == 0 {
		return 0, 0
	}
	return rate, usedRate / rate
}

// meanSlotTime returns the mean slot time of one arrival at a service, in seconds,
// over the requests that are admitted.
func meanSlotTime(demands []*demand, service string) float64 {
	work, count := 0.0, 0.0
	for _, d := range demands {
		work += d.admitted * d.costs[service]
		count += d.admitted * d.counts[service]
	}
	if count == 0 {
		return 0
	}
	return work / count
}

// evenShare returns the share of the budget to divide evenly if the service can do
// the given share of the offered work.
func evenShare(share float64) float64 {
	severity := min(max((evenGrowthStart-share)/(evenGrowthStart-evenGrowthEnd), 0), 1)
	return minEvenShare + severity*(maxEvenShare-minEvenShare)
}

// allocate divides the budget among the demands and lowers their admit ratios
// accordingly.
func (s *service) allocate(demands []*demand) {
	offered := 0.0
	for _, d := range demands {
		offered += d.work(s.name)
	}
	if offered <= s.budget {
		// The limits of more loaded services already refuse enough requests.
		return
	}
	share := s.budget / offered
	even := evenShare(share)
	baseRatio := even * share
	remaining := s.budget * (1 - even)
	for _, group := range priorityGroups(demands, s.name) {
		work := 0.0
		for _, d := range group {
			work += d.work(s.name)
		}
		if work == 0 {
			continue
		}
		admitRatio := min(1, baseRatio+remaining/work)
		remaining = max(0, remaining-(admitRatio-baseRatio)*work)
		if admitRatio == 1 {
			continue
		}
		for _, d := range group {
			d.admitRatio *= admitRatio
			d.service = s.name
		}
	}
}
