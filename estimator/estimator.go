// Package estimator estimates the cost of a request of each route at every service
// that it reaches.
//
// Each node measures, for the upstream beside it, how long requests of a route
// hold a slot and which calls they make. Nodes exchange these profiles. From its
// own and those of the other nodes, an estimator computes the slot time that one
// request of a route takes at each service, including calls that calls make.
//
// # Usage
//
//	p := estimator.New("orders")
//	p.RecordSuccess("place", 120*time.Millisecond, map[string]int{"stock": 2}, nil)
//	p.StoreProfiles("node-2", profiles) // and send p.Profiles() to other nodes
//	costs := p.Costs("place")           // costs["stock-service"] is a time
//	p.Load(profiles)                    // of an earlier run of the fleet
package estimator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	// sampleWeight is the weight of a new sample in an exponential moving
	// average.
	sampleWeight = 0.05
	// maxDepth is the largest number of levels of calls that are followed.
	maxDepth = 20
	// minCalls is the mean number of calls per request below which a call is
	// left out of the profile. Where the calling request is inferred, some calls
	// are attributed to the wrong route: up to 0.4 calls for each request of a
	// rare route beside one with 500 requests per second.
	minCalls = 0.5
	// minArrivals is the number of arrivals per request below which the calls
	// that they lead to are ignored.
	minArrivals = 0.02
	// minRecomputeInterval is the shortest time between two computations of the
	// costs. Nodes that start send their profiles at this interval.
	minRecomputeInterval = 400 * time.Millisecond
	// window is the period in which inferred calls are compared with the requests
	// that ended.
	window = time.Second
	// minStep is the smallest part of the difference found in a window by which
	// the means are corrected. Calls of one request may be attributed to another
	// one, which ends in a different window.
	minStep = 0.2
)

// routeStats holds the mean slot time and calls of the requests of a route.
type routeStats struct {
	// slotTime is in seconds.
	slotTime float64
	// calls is the mean number of calls, by route, that are known to be made.
	calls map[string]float64
	// inferredCalls is the mean number of further calls, by route, that fits
	// the numbers of calls and requests best.
	inferredCalls map[string]float64
	// requests is the number of requests that ended in the current window.
	requests float64
}

// Estimator records the requests of one upstream and computes the costs of routes.
type Estimator struct {
	service string
	costs   atomic.Pointer[map[string]map[string]time.Duration]
	counts  atomic.Pointer[map[string]map[string]float64]
	// incomplete holds the routes that lead to calls on routes without a profile.
	incomplete atomic.Pointer[set.Set[string]]

	mu     sync.Mutex
	routes map[string]*routeStats
	// failedRoutes holds the routes of which no request has succeeded yet.
	failedRoutes map[string]*routeStats
	// windowInferred counts the calls, by route, that were attributed by
	// inference to the requests that ended since windowStart.
	windowInferred map[string]float64
	windowStart    time.Time
	// windowCount is the number of windows that were compared.
	windowCount float64
	// peerProfiles holds the last profiles of each other node, by its name, and
	// those of this node under the empty name.
	peerProfiles map[string][]*schema.Profile
	// recorded holds the profiles of an earlier run of the fleet.
	recorded   []*schema.Profile
	recordedAt time.Time
	computedAt time.Time
}

// New returns an estimator for a node beside an upstream of a service.
func New(service string) *Estimator {
	p := &Estimator{
		service: service, routes: map[string]*routeStats{}, failedRoutes: map[string]*routeStats{}, windowInferred: map[string]float64{}, windowStart: time.Now(),
		peerProfiles: map[string][]*schema.Profile{},
	}
	p.costs.Store(&map[string]map[string]time.Duration{})
	p.counts.Store(&map[string]map[string]float64{})
	p.incomplete.Store(&set.Set[string]{})
	return p
}

// RecordSuccess records a request that succeeded at the upstream beside this node,
// the calls by route that it made, and those that it is inferred to have made;
// another request may have made these.
func (p *Estimator) RecordSuccess(route string, slotTime time.Duration, calls, inferredCalls map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fitInferredCalls()
	for name, n := range inferredCalls {
		p.windowInferred[name] += float64(n)
	}
	stats := p.routes[route]
	if stats == nil {
		stats = &routeStats{slotTime: slotTime.Seconds(), calls: map[string]float64{}, inferredCalls: map[string]float64{}, requests: 1}
		for name, n := range calls {
			stats.calls[name] = float64(n)
		}
		p.routes[route] = stats
		delete(p.failedRoutes, route)
		return
	}
	stats.requests++
	stats.slotTime += sampleWeight * (slotTime.Seconds() - stats.slotTime)
	for name := range calls {
		if _, ok := stats.calls[name]; !ok {
			stats.calls[name] = 0
		}
	}
	for name, mean := range stats.calls {
		stats.calls[name] = mean + sampleWeight*(float64(calls[name])-mean)
	}
}

// RecordFailure records a request that did not succeed. It is used until a request
// of its route succeeds: after a start in an overload all requests may fail, and
// their costs would not be known. Since failed requests end early, the largest
// number of calls seen counts instead of the mean.
func (p *Estimator) RecordFailure(route string, slotTime time.Duration, calls, inferredCalls map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes[route] != nil {
		return
	}
	stats := p.failedRoutes[route]
	if stats == nil {
		stats = &routeStats{slotTime: slotTime.Seconds(), calls: map[string]float64{}}
		p.failedRoutes[route] = stats
	}
	stats.slotTime += sampleWeight * (slotTime.Seconds() - stats.slotTime)
	for _, counts := range []map[string]int{calls, inferredCalls} {
		for name, n := range counts {
			stats.calls[name] = max(stats.calls[name], float64(n))
		}
	}
}

// Fanout returns the mean number of calls on a route that a request of another
// route makes at the upstream beside this node.
func (p *Estimator) Fanout(route, call string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stats := p.routes[route]; stats != nil {
		return stats.calls[call] + stats.inferredCalls[call]
	}
	return 0
}

// fitInferredCalls corrects the means of the inferred calls at the end of a window
// by a step towards the values that explain the calls by the requests that ended.
// Routes that run rarely hardly change. The caller holds the lock.
func (p *Estimator) fitInferredCalls() {
	now := time.Now()
	sum := 0.0
	for _, stats := range p.routes {
		sum += stats.fitWeight() * stats.requests
	}
	if now.Sub(p.windowStart) < window || sum == 0 {
		return
	}
	p.windowCount++
	step := max(minStep, 1/p.windowCount)
	for _, call := range p.inferredRoutes() {
		count := p.windowInferred[call]
		for _, stats := range p.routes {
			count -= stats.requests * stats.inferredCalls[call]
		}
		for _, stats := range p.routes {
			stats.inferredCalls[call] = max(0, stats.inferredCalls[call]+step*count*stats.fitWeight()/sum)
		}
	}
	clear(p.windowInferred)
	for _, stats := range p.routes {
		stats.requests = 0
	}
	p.windowStart = now
}

// fitWeight is the weight of a route in explaining the calls of a window: routes
// that run rarely hardly change the number of calls.
func (s *routeStats) fitWeight() float64 { return s.requests * s.requests * s.requests }

// inferredRoutes returns the routes of calls, in this window or before, whose
// calling requests were inferred.
func (p *Estimator) inferredRoutes() []string {
	calls := set.Of(slices.Collect(maps.Keys(p.windowInferred))...)
	for _, stats := range p.routes {
		for call := range stats.inferredCalls {
			calls.Add(call)
		}
	}
	return slices.Collect(maps.Keys(calls))
}

// Profiles returns the profiles that this node sends to other nodes.
func (p *Estimator) Profiles() []*schema.Profile {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.localProfiles()
}

func (p *Estimator) localProfiles() []*schema.Profile {
	var list []*schema.Profile
	known := maps.Clone(p.failedRoutes)
	maps.Copy(known, p.routes)
	for route, stats := range known {
		profile := &schema.Profile{Route: route, Service: p.service, Busy: durationpb.New(time.Duration(stats.slotTime * float64(time.Second)))}
		counts := maps.Clone(stats.calls)
		for name, count := range stats.inferredCalls {
			counts[name] += count
		}
		for name, count := range counts {
			if count >= minCalls {
				profile.Calls = append(profile.Calls, &schema.Fanout{Route: name, Count: float32(count)})
			}
		}
		list = append(list, profile)
	}
	return list
}

// StoreProfiles stores the profiles sent by another node, in place of its earlier
// ones. It recomputes the costs unless that was done within the last
// minRecomputeInterval.
func (p *Estimator) StoreProfiles(node string, profiles []*schema.Profile) {
	if len(profiles) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerProfiles[node] = profiles
	if time.Since(p.computedAt) >= minRecomputeInterval {
		p.computedAt = time.Now()
		p.recompute()
	}
}

// Costs returns the slot time that a request of a route takes at each service, as
// far as it is known. The map must not be changed.
func (p *Estimator) Costs(route string) map[string]time.Duration {
	return (*p.costs.Load())[route]
}

// SlotTime returns the mean slot time of a request of a route at a service, or zero if it
// is not known.
func (p *Estimator) SlotTime(route, service string) time.Duration {
	count := p.Counts(route)[service]
	if count == 0 {
		return 0
	}
	return time.Duration(float64(p.Costs(route)[service]) / count)
}

// KnownRoutes returns the routes whose costs are known.
func (p *Estimator) KnownRoutes() []string { return slices.Collect(maps.Keys(*p.costs.Load())) }

// Counts returns the number of times that a request of a route reaches each
// service, as far as it is known. The map must not be changed.
func (p *Estimator) Counts(route string) map[string]float64 {
	return (*p.counts.Load())[route]
}

// Complete reports whether the profiles of a route and of all calls that it leads to are
// known.
func (p *Estimator) Complete(route string) bool {
	_, known := (*p.counts.Load())[route]
	return known && !p.incomplete.Load().Has(route)
}

// mergedProfile is the sum of the profiles that nodes sent for a route. The field
// service counts these nodes by their service.
type mergedProfile struct {
	nodes    float64
	slotTime float64
	service  map[string]float64
	calls    map[string]float64
}

// addProfile adds a profile that counts as those of a number of nodes.
func addProfile(all map[string]*mergedProfile, profile *schema.Profile, nodes float64) {
	m := all[profile.GetRoute()]
	if m == nil {
		m = &mergedProfile{service: map[string]float64{}, calls: map[string]float64{}}
		all[profile.GetRoute()] = m
	}
	m.nodes += nodes
	m.slotTime += nodes * profile.GetBusy().AsDuration().Seconds()
	m.service[profile.GetService()] += nodes
	for _, c := range profile.GetCalls() {
		m.calls[c.GetRoute()] += nodes * float64(c.GetCount())
	}
}

// recompute computes the costs from all profiles; the caller holds the lock.
func (p *Estimator) recompute() {
	all := map[string]*mergedProfile{}
	p.peerProfiles[""] = p.localProfiles()
	for _, profiles := range p.peerProfiles {
		for _, profile := range profiles {
			addProfile(all, profile, 1)
		}
	}
	p.addRecorded(all)
	costs := make(map[string]map[string]time.Duration, len(all))
	counts := make(map[string]map[string]float64, len(all))
	incomplete := set.Of[string]()
	for route := range all {
		s := serviceTotals{map[string]float64{}, map[string]float64{}}
		if !s.addRoute(all, route) {
			incomplete.Add(route)
		}
		costs[route] = map[string]time.Duration{}
		for service, seconds := range s.slotTime {
			costs[route][service] = time.Duration(seconds * float64(time.Second))
		}
		counts[route] = s.arrivals
	}
	p.costs.Store(&costs)
	p.counts.Store(&counts)
	p.incomplete.Store(&incomplete)
}

// serviceTotals holds the slot time in seconds and the number of arrivals by
// service.
type serviceTotals struct {
	slotTime map[string]float64
	arrivals map[string]float64
}

// addRoute adds one request of a route and all calls that it leads to, level by
// level. This bounds the work where routes seem to call each other in cycles and
// the number of paths through them grows without bound. It reports whether all routes of
// these calls have a profile.
func (s serviceTotals) addRoute(all map[string]*mergedProfile, route string) bool {
	complete := true
	level := map[string]float64{route: 1}
	for range maxDepth {
		next := map[string]float64{}
		for name, count := range level {
			m := all[name]
			if m == nil {
				complete = false
				continue
			}
			for service, nodes := range m.service {
				s.slotTime[service] += count * m.slotTime / m.nodes * nodes / m.nodes
				s.arrivals[service] += count * nodes / m.nodes
			}
			for call, calls := range m.calls {
				if n := count * calls / m.nodes; n >= minArrivals {
					next[call] += n
				}
			}
		}
		if len(next) == 0 {
			return complete
		}
		level = next
	}
	return complete
}
