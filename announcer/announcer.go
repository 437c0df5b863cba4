// Package announcer takes the announcements of the upstream beside a node and
// makes them known to the fleet.
//
// An upstream announces each of its services with PUT /quetzal/announce on the
// node's local listener, at least once a second:
//
//	{"service": "orders", "address": "127.0.0.1:9000", "state": "ready"}
//
// The state is "ready" or "draining". An announcement lapses after three
// seconds. A draining upstream gets no new work from the moment its node knows
// it; other nodes hear of it by gossip and by refusals.
//
// # Usage
//
//	a := announcer.New(gossiper, options...)
//	go a.Run(ctx)
//	http.Handle("/quetzal/announce", a)
//	upstream, code := a.UpstreamFor("orders")
package announcer

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"quetzalhub/forwarder"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

const (
	// announcementTTL is the time for which an announcement holds.
	announcementTTL = 3 * time.Second
	// expiryCheckInterval is the time between two looks for lapsed announcements.
	expiryCheckInterval = 500 * time.Millisecond
	// maxAnnouncementBytes is the largest accepted document in bytes.
	maxAnnouncementBytes = 4 << 10
)

// Announcement is the document sent by an upstream.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// States of an upstream.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Publisher makes the endpoints of this node known.
type Publisher interface {
	Announce(endpoints []*schema.Endpoint)
}

// upstream is an announced upstream.
type upstream struct {
	address  string
	draining bool
	seen     time.Time
	limiter  forwarder.ConcurrencyLimiter
}

// Announcer holds the announced upstreams.
type Announcer struct {
	publisher  Publisher
	newLimiter func() forwarder.ConcurrencyLimiter

	mu        sync.RWMutex
	upstreams map[string]*upstream
	draining  bool
}

// New returns an announcer; newGate makes the guard of each new upstream.
func New(p Publisher, newLimiter func() forwarder.ConcurrencyLimiter) *Announcer {
	return &Announcer{publisher: p, newLimiter: newLimiter, upstreams: map[string]*upstream{}}
}

// ServeHTTP takes an announcement.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var doc Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&doc); err != nil {
		http.Error(w, "announcement is not JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	if reason := validate(doc); reason != "" {
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	if a.store(doc) {
		a.publish()
	}
	w.WriteHeader(http.StatusNoContent)
}

func validate(doc Announcement) string {
	if doc.Service == "" {
		return "service: must be given"
	}
	if _, err := netip.ParseAddrPort(doc.Address); err != nil {
		return "address: must be an IP address and port"
	}
	if doc.State != stateReady && doc.State != stateDraining {
		return "state: accepted are ready and draining"
	}
	return ""
}

// store records an announcement and tells whether anything changed.
func (a *Announcer) store(doc Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	draining := doc.State == stateDraining
	u := a.upstreams[doc.Service]
	if u == nil || u.address != doc.Address {
		a.upstreams[doc.Service] = &upstream{doc.Address, draining, time.Now(), a.newLimiter()}
		return true
	}
	changed := u.draining != draining
	u.draining = draining
	u.seen = time.Now()
	return changed
}

// UpstreamFor returns an upstream, or the code of the reason why it takes no calls.
func (a *Announcer) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	u := a.upstreams[service]
	switch {
	case u == nil:
		return forwarder.Upstream{}, refuser.EndpointMissing
	case u.draining || a.draining:
		return forwarder.Upstream{}, refuser.Draining
	default:
		return forwarder.Upstream{Limiter: u.limiter, Address: u.address}, refuser.None
	}
}

// Drain announces all upstreams as draining, for a planned stop of the node.
func (a *Announcer) Drain() {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.publish()
}

// Run removes lapsed announcements until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	repeater.Run(ctx, expiryCheckInterval, func() {
		if a.removeExpired() {
			a.publish()
		}
	})
}

func (a *Announcer) removeExpired() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.upstreams)
	maps.DeleteFunc(a.upstreams, func(_ string, u *upstream) bool { return time.Since(u.seen) > announcementTTL })
	return len(a.upstreams) != before
}

func (a *Announcer) publish() {
	a.publisher.Announce(a.endpoints())
}

func (a *Announcer) endpoints() []*schema.Endpoint {
	a.mu.RLock()
	defer a.mu.RUnlock()
	var list []*schema.Endpoint
	for _, service := range slices.Sorted(maps.Keys(a.upstreams)) {
		phase := schema.Phase_PHASE_READY
		if a.draining || a.upstreams[service].draining {
			phase = schema.Phase_PHASE_DRAINING
		}
		list = append(list, &schema.Endpoint{Service: service, Phase: phase})
	}
	return list
}

// Statuses returns the numbers of each guard by service.
func (a *Announcer) Statuses() map[string]guard.Status {
	a.mu.RLock()
	defer a.mu.RUnlock()
	all := map[string]guard.Status{}
	for service, u := range a.upstreams {
		if g, ok := u.limiter.(*guard.Guard); ok {
			all[service] = g.Status()
		}
	}
	return all
}
