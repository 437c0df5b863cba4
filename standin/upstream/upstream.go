// Package upstream implements a fake upstream for tests and the demo.
//
// It serves a fixed number of requests at once, queues the others in order of
// arrival, announces itself to the node on its host, and calls further services
// through that node if its options say so.
//
// # Usage
//
//	u := upstream.New(upstream.Options{Service: "orders", Slots: 4, ServiceTime: 5 * time.Millisecond})
//	http.ListenAndServe(address, u.Handler())
//	go u.Announce(ctx, local, address)
//
// Control requests:
//
//   - PUT /control/time?value=50ms changes the service time;
//   - PUT /control/drain makes the upstream announce that it is draining;
//   - GET /control/ledger returns the number of requests received with each id;
//   - GET /control/load returns the load report, which is false if the option
//     ReportIdle is set.
package upstream

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"quetzalhub/verifier"
)

// announceInterval is the time between two announcements.
const announceInterval = time.Second

// Options configure an upstream.
type Options struct {
	Service string
	// Slots is the maximum number of requests served at once.
	Slots int
	// ServiceTime is the time for which a request occupies its slot.
	ServiceTime time.Duration
	// WarmUp is the time after the start during which the service time is
	// tripled.
	WarmUp time.Duration
	// Calls lists the paths that are requested through the node for each request.
	Calls []string
	// LocalAddress is the address of the node's local listener.
	LocalAddress string
	// Fail makes every request end with status 500.
	Fail bool
	// ReportIdle makes the load report show no active requests.
	ReportIdle bool
	// RecordRequests keeps the method, URL and headers of every request, so that
	// tests can search them.
	RecordRequests bool
}

// Answer is the response to a request.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// ID is the X-Id header of the request.
	ID string `json:"id"`
	// Digest is the SHA-256 of the request body.
	Digest string `json:"digest"`
	// NestedAnswers holds the responses of the called services.
	NestedAnswers []json.RawMessage `json:"below,omitempty"`
}

// Upstream is an HTTP server with a fixed number of slots.
type Upstream struct {
	options     Options
	slots       chan struct{}
	serviceTime atomic.Int64
	draining    atomic.Bool
	started     time.Time
	client      *http.Client

	mu            sync.Mutex
	requestCounts map[string]int
	recorded      bytes.Buffer
}

// New returns an upstream.
func New(o Options) *Upstream {
	u := &Upstream{
		options:       o,
		slots:         make(chan struct{}, max(o.Slots, 1)),
		started:       time.Now(),
		client:        &http.Client{Transport: verifier.NewTransport(&http.Transport{MaxIdleConnsPerHost: 256})},
		requestCounts: map[string]int{},
	}
	u.serviceTime.Store(int64(o.ServiceTime))
	return u
}

// Handler returns the handler of requests and control requests.
func (u *Upstream) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/time", u.handleServiceTime).Methods(http.MethodPut)
	r.HandleFunc("/control/drain", u.handleDrain).Methods(http.MethodPut)
	r.HandleFunc("/control/load", u.handleLoad).Methods(http.MethodGet)
	r.HandleFunc("/control/ledger", u.handleRequestCounts).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(u.handleRequest)
	return r
}

// SetServiceTime changes the service time of requests that start later.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.serviceTime.Store(int64(d))
}

// RequestCounts returns the number of requests received with each id. A request
// is counted before it waits for a slot.
func (u *Upstream) RequestCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := make(map[string]int, len(u.requestCounts))
	for id, n := range u.requestCounts {
		copied[id] = n
	}
	return copied
}

// RecordedRequests returns the method, URL and headers of all requests if the
// option RecordRequests is set.
func (u *Upstream) RecordedRequests() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return bytes.Clone(u.recorded.Bytes())
}

func (u *Upstream) handleRequest(w http.ResponseWriter, r *http.Request) {
	digest, err := u.record(r)
	if err != nil {
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	u.occupySlot()
	<-u.slots
	answer := Answer{u.options.Service, r.Method, r.URL.Path, r.Header.Get("X-Id"), digest, nil}
	for _, path := range u.options.Calls {
		nested, err := u.callThroughNode(r, path)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		answer.NestedAnswers = append(answer.NestedAnswers, nested)
	}
	if u.options.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// record counts a request by its id and returns the digest of its body.
func (u *Upstream) record(r *http.Request) (string, error) {
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return "", err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if id := r.Header.Get("X-Id"); id != "" {
		u.requestCounts[id]++
	}
	if u.options.RecordRequests {
		_, _ = fmt.Fprintf(&u.recorded, "%s %s\n", r.Method, r.URL)
		_ = r.Header.Write(&u.recorded)
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// occupySlot sleeps for the service time.
func (u *Upstream) occupySlot() {
	d := time.Duration(u.serviceTime.Load())
	if time.Since(u.started) < u.options.WarmUp {
		d *= 3
	}
	if d > 0 {
		time.Sleep(d)
	}
}

// callThroughNode requests a path through the node on the same host and passes on
// the ticket and the id of the parent request.
func (u *Upstream) callThroughNode(parent *http.Request, path string) (json.RawMessage, error) {
	url := "http://" + u.options.LocalAddress + path
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Quetzal-Ticket", parent.Header.Get("Quetzal-Ticket"))
	req.Header.Set("X-Id", parent.Header.Get("X-Id"))
	resp, err := u.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", path, resp.StatusCode, body)
	}
	return body, nil
}

// Announce announces the upstream at address to the node whose local listener is
// local, once per interval until ctx is done, and then announces that it is
// draining.
func (u *Upstream) Announce(ctx context.Context, local, address string) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		u.sendAnnouncement(local, address, u.draining.Load())
		select {
		case <-ctx.Done():
			u.sendAnnouncement(local, address, true)
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) sendAnnouncement(local, address string, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"service": u.options.Service, "address": address, "state": state})
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+local+"/quetzal/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}

func (u *Upstream) handleServiceTime(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetServiceTime(d)
}

func (u *Upstream) handleDrain(http.ResponseWriter, *http.Request) {
	u.draining.Store(true)
}

func (u *Upstream) handleRequestCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.RequestCounts())
}

// Load is the load report of an upstream.
type Load struct {
	Slots  int `json:"slots"`
	Active int `json:"active"`
}

func (u *Upstream) handleLoad(w http.ResponseWriter, _ *http.Request) {
	report := Load{Slots: cap(u.slots), Active: len(u.slots)}
	if u.options.ReportIdle {
		report.Active = 0
	}
	_ = json.NewEncoder(w).Encode(report)
}
