// Package announcer receives the announcements of the upstreams beside a node and
// publishes them to the other nodes.
//
// An upstream announces each of its services with PUT /quetzal/announce on the
// node's local listener, at least once a second:
//
//	{"service": "orders", "address": "127.0.0.1:9000", "state": "ready"}
//
// The state is "ready" or "draining". An announcement expires after three
// seconds. Once its node has received the state "draining", an upstream gets no new
// calls; other nodes learn of the state by gossip and by refusals.
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
	// announcementTTL is the time after which an announcement expires.
	announcementTTL = 3 * time.Second
	// expiryCheckInterval is the time between checks for expired announcements.
	expiryCheckInterval = 500 * time.Millisecond
	// maxAnnouncementBytes is the maximum size of an announcement.
	maxAnnouncementBytes = 4 << 10
)

// Announcement is the JSON document that an upstream sends.
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

// Publisher publishes the endpoints of this node to the other nodes.
type Publisher interface {
	Announce(endpoints []*schema.Endpoint)
}

type upstream struct {
	address  string
	draining bool
	lastSeen time.Time
	limiter  forwarder.ConcurrencyLimiter
}

// Announcer stores the announced upstreams and serves PUT /quetzal/announce.
type Announcer struct {
	publisher  Publisher
	newLimiter func() forwarder.ConcurrencyLimiter

	mu        sync.RWMutex
	upstreams map[string]*upstream
	// nodeDraining is set by a planned stop of the node.
	nodeDraining bool
}

// New returns an announcer; newLimiter creates the concurrency limiter of each new
// upstream.
func New(p Publisher, newLimiter func() forwarder.ConcurrencyLimiter) *Announcer {
	return &Announcer{publisher: p, newLimiter: newLimiter, upstreams: map[string]*upstream{}}
}

// ServeHTTP stores an announcement and publishes the endpoints if the upstream is
// new or has changed.
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

// validate returns the reason why an announcement is invalid; empty if it is valid.
func validate(doc Announcement) string {
	if doc.Service == "" {
		return "service: must be given"
	}
	if _, err := netip.ParseAddrPort(doc.Address); err != nil {
		return "address: must be an IP address and port"
	}
	if doc.State != stateReady && doc.State != stateDraining {
		return `state: must be "ready" or "draining"`
	}
	return ""
}

// store stores an announcement and reports whether the upstream is new or its
// address or state has changed.
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
	u.lastSeen = time.Now()
	return changed
}

// UpstreamFor returns the upstream of a service, or the code of the refusal if it
// accepts no calls.
func (a *Announcer) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	u := a.upstreams[service]
	switch {
	case u == nil:
		return forwarder.Upstream{}, refuser.EndpointMissing
	case u.draining || a.nodeDraining:
		return forwarder.Upstream{}, refuser.Draining
	default:
		return forwarder.Upstream{Limiter: u.limiter, Address: u.address}, refuser.None
	}
}

// Drain announces all upstreams as draining, for a planned stop of the node.
func (a *Announcer) Drain() {
	a.mu.Lock()
	a.nodeDraining = true
	a.mu.Unlock()
	a.publish()
}

// Run removes expired announcements until the context ends.
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
	maps.DeleteFunc(a.upstreams, func(_ string, u *upstream) bool { return time.Since(u.lastSeen) > announcementTTL })
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
		if a.nodeDraining || a.upstreams[service].draining {
			phase = schema.Phase_PHASE_DRAINING
		}
		list = append(list, &schema.Endpoint{Service: service, Phase: phase})
	}
	return list
}

// Statuses returns the status of each guard by service.
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
