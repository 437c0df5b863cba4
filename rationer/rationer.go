// Package rationer decides at the entry which requests the fleet can serve while upstreams
// are cold, so that a request does not use up the work of others before it fails.
//
// A cold upstream bears a small number of requests per second. Each node computes, for
// every service with cold upstreams, its part of the requests that all upstreams of the
// service bear now, and fills a bucket with them. A request takes what it needs of each
// such service, calls of its calls included, or it is refused untouched. A bucket may be
// overdrawn by one request: in a large fleet, the part of a node is less than what one
// request needs, and only the sum over all nodes must be right.
//
// The part of a node is its share of what callers offer to the service in the whole fleet.
// Nodes that have not been met are assumed to receive as much as the others.
//
// The costs of a request come from measurements or from the record of an earlier run of the
// fleet. Where neither covers all calls of a route, its requests count as many calls.
//
// Requests of lower classes, and within a class those with clearly more calls to the
// service, must leave a reserve in the bucket, except for a part of them.
//
// # Usage
//
//	r := rationer.New(rationer.Options{Fleet: fleet, Costs: costs, Shedder: shedder, Intake: intake, Reporter: reporter})
//	if err := r.Admit(call, class, rank); err != nil { ... }
package rationer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/shedder"
)

const (
	// updateInterval is the time between two computations of the budgets.
	updateInterval = 100 * time.Millisecond
	// meetingTime is the time after the start in which other nodes are met. Before, a known
	// node that has not sent its inflows counts as one that receives requests.
	meetingTime = 2 * time.Second
	// absenceTime is the time after the start in which requests for a service without a
	// known upstream are refused, if its upstreams may be cold.
	absenceTime = 5 * time.Second
	// unknownCalls is the number of calls to each service with cold upstreams that a request
	// with unknown costs is assumed to make.
	unknownCalls = 4
	// retryJitter bounds the random time by which refused callers are told to come later than
	// the first upstream is warm. minRetryAfter is the shortest delay.
	retryJitter   = 1250 * time.Millisecond
	minRetryAfter = 250 * time.Millisecond
)

// Fleet provides the nodes and the load of their upstreams.
type Fleet interface {
	View() *gossiper.View
}

// CostSource provides the calls that a request of a route leads to.
type CostSource interface {
	// Counts returns the number of times that a request reaches each service, as far as
	// it is known.
	Counts(route string) map[string]float64
	// Complete reports whether all calls of a route are known.
	Complete(route string) bool
}

// LoadShedder decides on requests first, and knows what is offered to the fleet.
type LoadShedder interface {
	forwarder.LoadShedder
	// Withdraw takes back the admission of a request.
	Withdraw(c *forwarder.Call, class schema.Class)
	// Offers returns the arrivals offered to each service.
	Offers() map[string]shedder.Offer
}

// Reporter records events.
type Reporter interface {
	Notice(event string, fields ...any)
}

// Options holds the dependencies of a Rationer.
type Options struct {
	Fleet   Fleet
	Costs   CostSource
	Shedder LoadShedder
	// Intake returns the requests per second that the configuration states for one cold
	// upstream of a service; zero if there is no limit.
	Intake   func(service string) float64
	Reporter Reporter
}

// Rationer admits requests as far as cold upstreams bear them.
type Rationer struct {
	Options
	started time.Time

	mu        sync.Mutex
	updatedAt time.Time
	// budgets holds the services with cold upstreams.
	budgets map[string]*budget
	// absent is true while requests for services without upstreams are refused.
	absent bool
	view   *gossiper.View
}

// New returns a rationer in front of a shedder.
func New(o Options) *Rationer {
	return &Rationer{Options: o, started: time.Now(), budgets: map[string]*budget{}}
}

// Admit returns a *refuser.Error with code ServiceCold if the cold upstreams of a service
// that the call reaches bear no more, or the refusal of the shedder.
func (r *Rationer) Admit(c *forwarder.Call, class schema.Class, rank uint32) error {
	if err := r.Shedder.Admit(c, class, rank); err != nil {
		return r.explain(c, err)
	}
	if err := r.take(c, class, rank); err != nil {
		r.Shedder.Withdraw(c, class)
		return err
	}
	return nil
}

// ObserveCall passes a call on to the shedder.
func (r *Rationer) ObserveCall(c *forwarder.Call) { r.Shedder.ObserveCall(c) }

// take takes what a request needs from the budgets of all services that it reaches, or
// returns a refusal.
func (r *Rationer) take(c *forwarder.Call, class schema.Class, rank uint32) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.update(now)
	if service, ok := r.missing(c); ok {
		return refusal(fmt.Sprintf("No upstream of service %s is known yet.", service), 0)
	}
	needs := r.needs(c)
	var scarce *budget
	for service, count := range needs {
		b := r.budgets[service]
		b.fill(now)
		b.observe(class, count, now)
		if !b.allows(class, count, rank) && (scarce == nil || b.rate < scarce.rate) {
			scarce = b
		}
	}
	if scarce != nil {
		scarce.refused++
		return scarce.refusal()
	}
	for service, count := range needs {
		r.budgets[service].take(count)
	}
	return nil
}

// explain replaces the refusal of the shedder if it is due to cold upstreams, so that the
// caller learns when there is room.
func (r *Rationer) explain(c *forwarder.Call, err error) error {
	refused, ok := err.(*refuser.Error)
	if !ok || refused.Code != refuser.ShedAtEntry {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.update(now)
	var scarce *budget
	for service := range r.needs(c) {
		if b := r.budgets[service]; b.offered > b.rate && (scarce == nil || b.rate < scarce.rate) {
			scarce = b
		}
	}
	if scarce == nil {
		return err
	}
	scarce.refused++
	return scarce.refusal()
}

// needs returns the number of requests that a call leads to at each service with cold
// upstreams. The caller holds the lock.
func (r *Rationer) needs(c *forwarder.Call) map[string]float64 {
	if len(r.budgets) == 0 {
		return nil
	}
	needs := map[string]float64{}
	counts, complete := r.Costs.Counts(c.Route.Name), r.Costs.Complete(c.Route.Name)
	for service := range r.budgets {
		count := counts[service]
		switch {
		case service == c.Service:
			// The counts of a route that is split among services are means.
			count = max(count, 1)
		case isOtherSplitService(c, service):
			continue
		case count == 0 && !complete:
			count = unknownCalls
		}
		if count > 0 {
			needs[service] = count
		}
	}
	return needs
}

// missing returns a service that the call reaches and of which no upstream is known yet. The
// caller holds the lock.
func (r *Rationer) missing(c *forwarder.Call) (string, bool) {
	if !r.absent {
		return "", false
	}
	for service := range r.Costs.Counts(c.Route.Name) {
		if len(r.view.Service(service)) == 0 && !isOtherSplitService(c, service) && r.Intake(service) > 0 {
			return service, true
		}
	}
	return "", false
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

// update computes the budgets anew if that is due; the caller holds the lock.
func (r *Rationer) update(now time.Time) {
	if now.Sub(r.updatedAt) < updateInterval {
		return
	}
	r.updatedAt = now
	r.view = r.Fleet.View()
	r.absent = now.Sub(r.started) < absenceTime
	supplies := coldSupplies(r.view)
	for service, b := range r.budgets {
		if _, ok := supplies[service]; !ok {
			r.Reporter.Notice("service_warm", "service", service, "refused", b.refused)
			delete(r.budgets, service)
		}
	}
	if len(supplies) == 0 {
		return
	}
	offers := r.Shedder.Offers()
	for service, s := range supplies {
		b, part := r.budgets[service], r.part(offers[service], now)
		if b == nil {
			b = newBudget(service, now)
			b.level = s.warm * part * maxFill.Seconds()
			r.budgets[service] = b
			r.Reporter.Notice("service_cold", "service", service, "cold", s.cold, "upstreams", s.upstreams, "bears", s.rate, "warm_in", s.remaining)
		}
		b.fill(now)
		b.supply, b.offered = s, offers[service].Local
		b.rate = s.rate * part
	}
}

// part returns the part of this node in what callers offer to a service.
func (r *Rationer) part(o shedder.Offer, now time.Time) float64 {
	known := float64(max(r.view.Known, 1))
	if o.Local == 0 {
		return 1 / known
	}
	others := float64(r.view.Known - o.Nodes)
	if now.Sub(r.started) > meetingTime {
		others = float64(r.view.Known - max(r.view.LiveCount(), o.Nodes))
	}
	return o.Local / (o.Fleet * (1 + max(others, 0)/float64(o.Nodes)))
}

// refusal returns a refusal with a delay after which there may be room.
func refusal(note string, remaining time.Duration) error {
	return &refuser.Error{Code: refuser.ServiceCold, Detail: refuser.Detail{Note: note, RetryAfter: max(remaining, minRetryAfter) + rand.N(retryJitter)}}
}

// Status is the budget of a service with cold upstreams, as it is published.
type Status struct {
	// Cold is the number of cold upstreams, and Upstreams that of all.
	Cold      int `json:"cold"`
	Upstreams int `json:"upstreams"`
	// Bears is what all upstreams bear, and Rate the part of this node, in requests per
	// second.
	Bears    float64 `json:"bears_per_s"`
	Rate     float64 `json:"rate_per_s"`
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
}

// Budgets returns the budgets by service.
func (r *Rationer) Budgets() map[string]Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(time.Now())
	list := map[string]Status{}
	for service, b := range r.budgets {
		list[service] = Status{b.supply.cold, b.supply.upstreams, b.supply.rate, b.rate, b.admitted, b.refused}
	}
	return list
}
