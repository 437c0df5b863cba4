// Package upstream is a stand-in for a back end, for tests and the demo.
//
// It serves requests from a fixed number of slots, queues the rest first in
// first out, announces itself to the node beside it, and calls further
// services when its options say so.
//
// # Usage
//
//	u := upstream.New(upstream.Options{Service: "orders", Slots: 4, Time: 5 * time.Millisecond})
//	http.ListenAndServe(address, u.Handler())
//	go u.Announce(ctx, local, address)
//
// Control requests: PUT /control/time?value=50ms changes the service time,
// PUT /control/drain announces that the upstream is leaving, GET
// /control/ledger returns how often each request id ran, GET
// /control/load a load report that may mislead.
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
)

// announceInterval is the time between two announcements.
const announceInterval = time.Second

// Options describe an upstream.
type Options struct {
	Service string
	// Slots is the number of requests served at once.
	Slots int
	// Time is the time one request holds its slot.
	Time time.Duration
	// Cold is how long after the start requests take three times as long.
	Cold time.Duration
	// Calls are the paths requested through the local node before answering.
	Calls []string
	// Local is the address of the node's local listener.
	Local string
	// Fail makes every request end with status 500.
	Fail bool
	// Mislead makes the load report show idle slots whatever the load.
	Mislead bool
	// Keep records every request with its headers, for searches by tests.
	Keep bool
}

// Answer is the document returned for each request.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// ID repeats the X-Id header of the request.
	ID string `json:"id"`
	// Digest is the SHA-256 of the request body.
	Digest string `json:"digest"`
	// Below holds the answers of the called services.
	Below []json.RawMessage `json:"below,omitempty"`
}

// Upstream is the stand-in.
type Upstream struct {
	options Options
	slots   chan struct{}
	pause   atomic.Int64
	leaving atomic.Bool
	started time.Time
	client  *http.Client

	mu     sync.Mutex
	ledger map[string]int
	kept   bytes.Buffer
}

// New returns an upstream.
func New(o Options) *Upstream {
	u := &Upstream{
		options: o,
		slots:   make(chan struct{}, max(o.Slots, 1)),
		started: time.Now(),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		ledger:  map[string]int{},
	}
	u.pause.Store(int64(o.Time))
	return u
}

// Handler serves requests and control requests.
func (u *Upstream) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/time", u.setTime).Methods(http.MethodPut)
	r.HandleFunc("/control/drain", u.drain).Methods(http.MethodPut)
	r.HandleFunc("/control/load", u.load).Methods(http.MethodGet)
	r.HandleFunc("/control/ledger", u.report).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(u.serve)
	return r
}

// SetTime changes the service time.
func (u *Upstream) SetTime(d time.Duration) {
	u.pause.Store(int64(d))
}

// Ledger returns how often each request id ran.
func (u *Upstream) Ledger() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := make(map[string]int, len(u.ledger))
	for id, n := range u.ledger {
		copied[id] = n
	}
	return copied
}

// Kept returns the recorded requests.
func (u *Upstream) Kept() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return bytes.Clone(u.kept.Bytes())
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	digest, err := u.record(r)
	if err != nil {
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	u.work()
	<-u.slots
	answer := Answer{u.options.Service, r.Method, r.URL.Path, r.Header.Get("X-Id"), digest, nil}
	for _, path := range u.options.Calls {
		below, err := u.call(r, path)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		answer.Below = append(answer.Below, below)
	}
	if u.options.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (u *Upstream) record(r *http.Request) (string, error) {
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return "", err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if id := r.Header.Get("X-Id"); id != "" {
		u.ledger[id]++
	}
	if u.options.Keep {
		_, _ = fmt.Fprintf(&u.kept, "%s %s\n", r.Method, r.URL)
		_ = r.Header.Write(&u.kept)
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

func (u *Upstream) work() {
	d := time.Duration(u.pause.Load())
	if time.Since(u.started) < u.options.Cold {
		d *= 3
	}
	if d > 0 {
		time.Sleep(d)
	}
}

// call requests a path through the node beside the upstream.
func (u *Upstream) call(parent *http.Request, path string) (json.RawMessage, error) {
	url := "http://" + u.options.Local + path
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

// Announce tells the node at local that the upstream serves at address, until
// the context ends; then it announces that the upstream has left.
func (u *Upstream) Announce(ctx context.Context, local, address string) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		u.announce(local, address, u.leaving.Load())
		select {
		case <-ctx.Done():
			u.announce(local, address, true)
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) announce(local, address string, leaving bool) {
	state := "ready"
	if leaving {
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

func (u *Upstream) setTime(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetTime(d)
}

func (u *Upstream) drain(http.ResponseWriter, *http.Request) {
	u.leaving.Store(true)
}

func (u *Upstream) report(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.Ledger())
}

// Load is the upstream's report of its own load.
type Load struct {
	Slots  int `json:"slots"`
	Active int `json:"active"`
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	report := Load{Slots: cap(u.slots), Active: len(u.slots)}
	if u.options.Mislead {
		report.Active = 0
	}
	_ = json.NewEncoder(w).Encode(report)
}
