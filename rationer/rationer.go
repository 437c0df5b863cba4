// Package rationer bounds the extra attempts of a fleet at each service.
//
// In any window a service may get a share of the requests that callers sent
// for it, and some more, as extra arrivals, over all nodes together. Each node
// uses a part that holds whatever the others do: half of the ratio for what
// came in here, and an equal part of half of the rest. A request that runs
// again makes its calls again, so an extra attempt is charged to every service
// that it reaches.
//
// # Usage
//
//	r := rationer.New(rationer.Ration{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}, counts, nodes)
//	r.RecordRequest("orders", "place", false)
//	if r.AllowRetry("orders", "place") { send again }
package rationer

import (
	"sync"
	"time"
)

// part is the part of the ration that is used. The other part covers attempts
// at the edge of a window, and nodes that count each other twice.
const part = 0.5

// Ration is what operators accept of extra arrivals at a service in a window.
type Ration struct {
	// Ratio is a share of the requests that callers sent for the service.
	Ratio float64
	// Slack is a number of arrivals besides.
	Slack  float64
	Window time.Duration
}

// Counts tells how often a request of a route reaches each service.
type Counts interface {
	Counts(route string) map[string]float64
}

// Rationer bounds extra attempts.
type Rationer struct {
	ration Ration
	counts Counts
	nodes  func() int

	mu       sync.Mutex
	services map[string]*bucket
}

// bucket holds the extra arrivals left at one service.
type bucket struct {
	tokens float64
	filled time.Time
}

// New returns a rationer for a node of a fleet of the given size.
func New(r Ration, c Counts, nodes func() int) *Rationer {
	return &Rationer{ration: r, counts: c, nodes: nodes, services: map[string]*bucket{}}
}

// slack is the part of the slack for this node.
func (r *Rationer) slack() float64 { return part * r.ration.Slack / float64(max(r.nodes(), 1)) }

// service returns the filled bucket of a service; the caller holds the lock.
func (r *Rationer) service(name string) *bucket {
	now := time.Now()
	b := r.services[name]
	if b == nil {
		b = &bucket{tokens: r.most(), filled: now}
		r.services[name] = b
	}
	b.tokens = min(r.most(), b.tokens+r.slack()*now.Sub(b.filled).Seconds()/r.ration.Window.Seconds())
	b.filled = now
	return b
}

// most is the largest number of tokens kept. Less than one would allow nothing.
func (r *Rationer) most() float64 { return max(1, r.slack()) }

// RecordRequest counts a request of a caller. Calls made for other requests earn
// nothing: only what callers send counts.
func (r *Rationer) RecordRequest(service, _ string, nested bool) {
	if nested {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.service(service)
	b.tokens = min(r.most(), b.tokens+part*r.ration.Ratio)
}

// AllowRetry charges an extra attempt and tells whether every service that it
// reaches allows it.
func (r *Rationer) AllowRetry(service, route string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts.Counts(route)
	if counts[service] == 0 {
		return r.take(service, 1)
	}
	for name := range counts {
		if r.service(name).tokens < 1 {
			return false
		}
	}
	for name, count := range counts {
		r.service(name).tokens -= count
	}
	return true
}

func (r *Rationer) take(service string, count float64) bool {
	b := r.service(service)
	if b.tokens < 1 {
		return false
	}
	b.tokens -= count
	return true
}
