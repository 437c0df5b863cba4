// Package profiler learns what a request of each route costs at every service
// on its way.
//
// Each node sees, for the upstream beside it, how long requests of a route
// hold a slot and which calls they make. It tells the others, and from what
// all nodes tell it works out the slot time that one request of a route takes
// at each service below, calls of calls included.
//
// # Usage
//
//	p := profiler.New("orders")
//	p.RecordSuccess("place", 120*time.Millisecond, map[string]int{"stock": 2}, nil)
//	costs := p.Costs("place") // costs["stock-service"] is a time
package profiler

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
	// weight is the weight of one more request in a mean.
	weight = 0.05
	// depth is the largest number of levels of calls followed.
	depth = 20
	// leastCount is the mean number of calls below which a call is not told.
	// Where requests are guessed, some calls are attributed to wrong ones: up
	// to 0.4 of a call for each request of a rare route beside one that makes
	// 500 a second.
	leastCount = 0.5
	// leastFlow is the number of arrivals for one request below which what they
	// lead to is left out.
	leastFlow = 0.02
	// renewal is the least time between two computations of the costs. Nodes
	// that start tell of theirs that often.
	renewal = 400 * time.Millisecond
	// window is the time over which calls are compared with the requests that
	// ended meanwhile.
	window = time.Second
	// leastStep is the part of the difference found in a window that is
	// corrected in the long run; calls of one request may be guessed to be
	// those of another one, which ends in a different window.
	leastStep = 0.2
)

// cost is the mean cost of a route at one service.
type cost struct {
	busy float64
	// calls is the mean number of calls that are known to be made by route.
	calls map[string]float64
	// guesses is the mean number of others that go best with the number of
	// requests, by route.
	guesses map[string]float64
	// ended is the number of requests that ended in the present window.
	ended float64
}

// Profiler learns costs.
type Profiler struct {
	service string
	costs   atomic.Pointer[map[string]map[string]time.Duration]
	counts  atomic.Pointer[map[string]map[string]float64]

	mu  sync.Mutex
	own map[string]*cost
	// failed holds the costs of routes of which no request has succeeded yet.
	failed map[string]*cost
	// guessed counts the calls by route that were guessed to be made by the
	// requests that ended in the window since opened.
	guessed map[string]float64
	opened  time.Time
	// windows is the number of windows compared.
	windows float64
	told    map[string][]*schema.Profile
	made    time.Time
}

// New returns a profiler for a node beside an upstream of a service.
func New(service string) *Profiler {
	p := &Profiler{
		service: service, own: map[string]*cost{}, failed: map[string]*cost{}, guessed: map[string]float64{}, opened: time.Now(),
		told: map[string][]*schema.Profile{},
	}
	p.costs.Store(&map[string]map[string]time.Duration{})
	p.counts.Store(&map[string]map[string]float64{})
	return p
}

// RecordSuccess takes in a request that ran at the upstream beside this node, the calls
// by route that it made, and those that were guessed to be made by it; another
// request may have made them.
func (p *Profiler) RecordSuccess(route string, busy time.Duration, calls, guesses map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compare()
	for name, n := range guesses {
		p.guessed[name] += float64(n)
	}
	c := p.own[route]
	if c == nil {
		c = &cost{busy: busy.Seconds(), calls: map[string]float64{}, guesses: map[string]float64{}, ended: 1}
		for name, n := range calls {
			c.calls[name] = float64(n)
		}
		p.own[route] = c
		delete(p.failed, route)
		return
	}
	c.ended++
	c.busy += weight * (busy.Seconds() - c.busy)
	for name := range calls {
		if _, ok := c.calls[name]; !ok {
			c.calls[name] = 0
		}
	}
	for name, mean := range c.calls {
		c.calls[name] = mean + weight*(float64(calls[name])-mean)
	}
}

// RecordFailure takes in a request that did not succeed. It counts until one of its
// route does: after a start in an overload all requests may fail, and nothing
// would be known of what they cost. Since they end early, the most calls seen
// stand for all.
func (p *Profiler) RecordFailure(route string, busy time.Duration, calls, guesses map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own[route] != nil {
		return
	}
	c := p.failed[route]
	if c == nil {
		c = &cost{busy: busy.Seconds(), calls: map[string]float64{}}
		p.failed[route] = c
	}
	c.busy += weight * (busy.Seconds() - c.busy)
	for _, counts := range []map[string]int{calls, guesses} {
		for name, n := range counts {
			c.calls[name] = max(c.calls[name], float64(n))
		}
	}
}

// Fanout returns the number of calls on a route that a request of another
// route makes at the upstream beside this node.
func (p *Profiler) Fanout(route, call string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.own[route]; c != nil {
		return c.calls[call] + c.guesses[call]
	}
	return 0
}

// compare explains the calls of a window that has passed by the requests that
// ended in it: a step towards the means that fit their numbers. Routes that run
// hardly ever keep theirs. The caller holds the lock.
func (p *Profiler) compare() {
	now := time.Now()
	sum := 0.0
	for _, c := range p.own {
		sum += c.evidence() * c.ended
	}
	if now.Sub(p.opened) < window || sum == 0 {
		return
	}
	p.windows++
	step := max(leastStep, 1/p.windows)
	for _, call := range p.guesses() {
		count := p.guessed[call]
		for _, c := range p.own {
			count -= c.ended * c.guesses[call]
		}
		for _, c := range p.own {
			c.guesses[call] = max(0, c.guesses[call]+step*count*c.evidence()/sum)
		}
	}
	clear(p.guessed)
	for _, c := range p.own {
		c.ended = 0
	}
	p.opened = now
}

// evidence is the weight with which a route explains calls: those that run
// seldom hardly change the number of calls.
func (c *cost) evidence() float64 { return c.ended * c.ended * c.ended }

// guesses returns the routes of calls whose requests were not known, now or
// before.
func (p *Profiler) guesses() []string {
	calls := set.Of(slices.Collect(maps.Keys(p.guessed))...)
	for _, c := range p.own {
		for call := range c.guesses {
			calls.Add(call)
		}
	}
	return slices.Collect(maps.Keys(calls))
}

// Profiles returns what this node tells others.
func (p *Profiler) Profiles() []*schema.Profile {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.profiles()
}

func (p *Profiler) profiles() []*schema.Profile {
	var list []*schema.Profile
	known := maps.Clone(p.failed)
	maps.Copy(known, p.own)
	for route, c := range known {
		profile := &schema.Profile{Route: route, Service: p.service, Busy: durationpb.New(time.Duration(c.busy * float64(time.Second)))}
		counts := maps.Clone(c.calls)
		for name, count := range c.guesses {
			counts[name] += count
		}
		for name, count := range counts {
			if count >= leastCount {
				profile.Calls = append(profile.Calls, &schema.Fanout{Route: name, Count: float32(count)})
			}
		}
		list = append(list, profile)
	}
	return list
}

// StoreProfiles takes in what another node tells.
func (p *Profiler) StoreProfiles(node string, profiles []*schema.Profile) {
	if len(profiles) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told[node] = profiles
	if time.Since(p.made) >= renewal {
		p.made = time.Now()
		p.renew()
	}
}

// Costs returns the slot time that a request of a route takes at each service,
// as far as it is known. The map must not be changed.
func (p *Profiler) Costs(route string) map[string]time.Duration {
	return (*p.costs.Load())[route]
}

// KnownRoutes returns the routes whose costs are known.
func (p *Profiler) KnownRoutes() []string { return slices.Collect(maps.Keys(*p.costs.Load())) }

// Counts returns the number of times that a request of a route reaches each
// service, as far as it is known. The map must not be changed.
func (p *Profiler) Counts(route string) map[string]float64 {
	return (*p.counts.Load())[route]
}

// merged is the mean of what nodes tell of a route.
type merged struct {
	nodes   float64
	busy    float64
	service map[string]float64
	calls   map[string]float64
}

// renew works the costs out; the caller holds the lock.
func (p *Profiler) renew() {
	all := map[string]*merged{}
	p.told[""] = p.profiles()
	for _, profiles := range p.told {
		for _, profile := range profiles {
			m := all[profile.GetRoute()]
			if m == nil {
				m = &merged{service: map[string]float64{}, calls: map[string]float64{}}
				all[profile.GetRoute()] = m
			}
			m.nodes++
			m.busy += profile.GetBusy().AsDuration().Seconds()
			m.service[profile.GetService()]++
			for _, c := range profile.GetCalls() {
				m.calls[c.GetRoute()] += float64(c.GetCount())
			}
		}
	}
	costs := make(map[string]map[string]time.Duration, len(all))
	counts := make(map[string]map[string]float64, len(all))
	for route := range all {
		s := sums{map[string]float64{}, map[string]float64{}}
		s.add(all, route)
		costs[route] = map[string]time.Duration{}
		for service, seconds := range s.busy {
			costs[route][service] = time.Duration(seconds * float64(time.Second))
		}
		counts[route] = s.count
	}
	p.costs.Store(&costs)
	p.counts.Store(&counts)
}

// sums are the slot time in seconds and the number of requests by service.
type sums struct {
	busy  map[string]float64
	count map[string]float64
}

// add takes in one request of a route and the calls that it leads to, level by
// level: routes may seem to call each other in circles, and then the number of
// ways through them grows without bound.
func (s sums) add(all map[string]*merged, route string) {
	level := map[string]float64{route: 1}
	for range depth {
		next := map[string]float64{}
		for name, count := range level {
			m := all[name]
			if m == nil {
				continue
			}
			for service, nodes := range m.service {
				s.busy[service] += count * m.busy / m.nodes * nodes / m.nodes
				s.count[service] += count * nodes / m.nodes
			}
			for call, calls := range m.calls {
				if n := count * calls / m.nodes; n >= leastFlow {
					next[call] += n
				}
			}
		}
		if len(next) == 0 {
			return
		}
		level = next
	}
}
