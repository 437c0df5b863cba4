// Package platform is a stand-in for the platform's object store, for tests
// and the demo.
//
// It keeps objects in memory, serves them by the protocol of package storer,
// counts calls, and can be told to fail.
//
// # Usage
//
//	p := platform.New()
//	http.ListenAndServe(address, p.Handler())
//
// The switches are set by PUT /switches with a JSON document: "down" refuses
// every call, "delay" (a duration) slows each one, "lose" drops the answers to
// writes after they took effect, "stale" serves reads from the previous
// version. GET /switches also returns the counts of calls.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// maxObject is the largest accepted object in bytes.
const maxObject = 1 << 20

// Switches tell the store to fail.
type Switches struct {
	Down  bool   `json:"down"`
	Delay string `json:"delay,omitempty"`
	Lose  bool   `json:"lose"`
	Stale bool   `json:"stale"`
}

// Counts holds the number of calls so far.
type Counts struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
	Waiting int64 `json:"waiting"`
}

// Report is the document returned by GET /switches.
type Report struct {
	Switches
	Counts
}

type object struct {
	data     []byte
	version  int64
	previous []byte
}

// Platform is the stand-in.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]*object
	changed  chan struct{}
	revision int64
	switches Switches
	counts   Counts
}

// New returns an empty store.
func New() *Platform {
	return &Platform{objects: map[string]*object{}, changed: make(chan struct{})}
}

// Handler serves the object API and the switches.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/objects/{name}", p.read).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{name}", p.write).Methods(http.MethodPut)
	r.HandleFunc("/switches", p.report).Methods(http.MethodGet)
	r.HandleFunc("/switches", p.set).Methods(http.MethodPut)
	return r
}

// Set changes the switches.
func (p *Platform) Set(s Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = s
	p.wake()
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// wake ends all waits; the caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// failing applies the switches to a call and tells whether it is refused.
func (p *Platform) failing(w http.ResponseWriter) bool {
	p.mu.Lock()
	s := p.switches
	p.mu.Unlock()
	if d, err := time.ParseDuration(s.Delay); err == nil {
		time.Sleep(d)
	}
	if s.Down {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
	}
	return s.Down
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	wait := waitOf(r)
	p.count(wait > 0)
	if p.failing(w) {
		return
	}
	known := r.Header.Get("If-None-Match")
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		o, changed, s := p.objects[mux.Vars(r)["name"]], p.changed, p.switches
		p.mu.Unlock()
		if s.Down {
			http.Error(w, "out of service", http.StatusServiceUnavailable)
			return
		}
		if o != nil && tag(o.version) != known {
			serve(w, o, s.Stale)
			return
		}
		if o == nil && wait == 0 {
			http.Error(w, "no such object", http.StatusNotFound)
			return
		}
		p.waiting(1)
		ended := p.pause(r, changed, deadline)
		p.waiting(-1)
		if ended {
			p.unchanged(w, o)
			return
		}
	}
}

// pause waits for a change and tells whether the wait is over.
func (p *Platform) pause(r *http.Request, changed chan struct{}, deadline *time.Timer) bool {
	select {
	case <-changed:
		return false
	case <-deadline.C:
		return true
	case <-r.Context().Done():
		return true
	}
}

func (p *Platform) unchanged(w http.ResponseWriter, o *object) {
	if o == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

func (p *Platform) count(watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		p.counts.Watches++
		return
	}
	p.counts.Reads++
}

func (p *Platform) waiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

func serve(w http.ResponseWriter, o *object, stale bool) {
	data, version := o.data, o.version
	if stale && o.previous != nil {
		data, version = o.previous, o.version-1
	}
	w.Header().Set("ETag", tag(version))
	_, _ = w.Write(data)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, "object too large", http.StatusRequestEntityTooLarge)
		return
	}
	if p.failing(w) {
		return
	}
	version, lose, ok := p.replace(mux.Vars(r)["name"], data, r.Header)
	switch {
	case !ok:
		http.Error(w, "version differs", http.StatusPreconditionFailed)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", tag(version))
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) replace(name string, data []byte, h http.Header) (version int64, lose, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	o := p.objects[name]
	if o == nil && h.Get("If-Match") != "" {
		return 0, false, false
	}
	if o != nil && h.Get("If-Match") != tag(o.version) {
		return 0, false, false
	}
	p.revision++
	next := &object{data: data, version: p.revision}
	if o != nil {
		next.previous = o.data
	}
	p.objects[name] = next
	p.wake()
	return next.version, p.switches.Lose, true
}

func (p *Platform) report(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	report := Report{p.switches, p.counts}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func (p *Platform) set(w http.ResponseWriter, r *http.Request) {
	var s Switches
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(s)
}

func tag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}

func waitOf(r *http.Request) time.Duration {
	text, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !ok {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
