// Package platform implements a fake of the platform's object store for tests and
// the demo.
//
// It keeps objects in memory, serves them over the protocol of package storer,
// counts calls, and simulates faults on request.
//
// # Usage
//
//	p := platform.New()
//	http.ListenAndServe(address, p.Handler())
//
// PUT /switches selects the faults with a JSON document: "down" refuses every
// call, "delay" (a duration) delays each one, "lose" drops the responses to
// writes after they took effect, "stale" serves reads from the previous version.
// GET /switches returns the switches and the call counts.
//
// PUT /copy copies the objects, and PUT /restore replaces them by the last copy, so that
// later writes are lost. Revisions are given out again then, but not entity tags: they
// also hold the number of restores before the write.
package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 1 << 20

// Switches select the faults that the store simulates.
type Switches struct {
	Down               bool   `json:"down"`
	Delay              string `json:"delay,omitempty"`
	DropWriteResponses bool   `json:"lose"`
	Stale              bool   `json:"stale"`
}

// Counts holds the number of calls so far, and of reads that wait for a change.
type Counts struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
	Waiting int64 `json:"waiting"`
}

// Report is the response to GET /switches.
type Report struct {
	Switches
	Counts
}

type object struct {
	data []byte
	tag
	previous []byte
}

// tag identifies a write.
type tag struct {
	era, version int64
}

// Copy is a copy of the objects of a store.
type Copy struct {
	objects  map[string]*object
	revision int64
}

// Platform is an object store in memory.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]*object
	changed  chan struct{}
	revision int64
	// era is the number of restores.
	era      int64
	copied   *Copy
	switches Switches
	counts   Counts
}

// New returns an empty store.
func New() *Platform {
	return &Platform{objects: map[string]*object{}, changed: make(chan struct{})}
}

// Handler returns the handler of the object API and the switches.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/objects/{name}", p.handleRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{name}", p.handleWrite).Methods(http.MethodPut)
	r.HandleFunc("/copy", p.handleCopy).Methods(http.MethodPut)
	r.HandleFunc("/restore", p.handleRestore).Methods(http.MethodPut)
	r.HandleFunc("/switches", p.handleGetSwitches).Methods(http.MethodGet)
	r.HandleFunc("/switches", p.handleSetSwitches).Methods(http.MethodPut)
	return r
}

// SetSwitches replaces the switches and makes waiting reads check them.
func (p *Platform) SetSwitches(s Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = s
	p.notifyWaiters()
}

// Copy returns a copy of the objects.
func (p *Platform) Copy() *Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Copy{maps.Clone(p.objects), p.revision}
}

// Restore replaces the objects by a copy.
func (p *Platform) Restore(c *Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects, p.revision = maps.Clone(c.objects), c.revision
	p.era++
	p.notifyWaiters()
}

func (p *Platform) handleCopy(w http.ResponseWriter, _ *http.Request) {
	copied := p.Copy()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = copied
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleRestore(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	copied := p.copied
	p.mu.Unlock()
	if copied == nil {
		http.Error(w, "no copy was made", http.StatusConflict)
		return
	}
	p.Restore(copied)
	w.WriteHeader(http.StatusNoContent)
}

// Counts returns the call counts.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// notifyWaiters makes all waiting reads check the objects and the switches again.
// The caller holds the lock.
func (p *Platform) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// applySwitches delays a call or refuses it, as the switches say, and reports
// whether it was refused.
func (p *Platform) applySwitches(w http.ResponseWriter) bool {
	p.mu.Lock()
	s := p.switches
	p.mu.Unlock()
	if d, err := time.ParseDuration(s.Delay); err == nil {
		time.Sleep(d)
	}
	if s.Down {
		http.Error(w, "object store is switched off", http.StatusServiceUnavailable)
	}
	return s.Down
}

// handleRead returns an object. If the caller already has the current version, or
// the object does not exist, it first waits for a change for the requested time.
func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	wait := parseWait(r)
	p.countRead(wait > 0)
	if p.applySwitches(w) {
		return
	}
	knownETag := r.Header.Get("If-None-Match")
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		o, changed, s := p.objects[mux.Vars(r)["name"]], p.changed, p.switches
		p.mu.Unlock()
		if s.Down {
			http.Error(w, "object store is switched off", http.StatusServiceUnavailable)
			return
		}
		if o != nil && o.etag() != knownETag {
			writeObject(w, o, s.Stale)
			return
		}
		if o == nil && wait == 0 {
			http.Error(w, "object not found", http.StatusNotFound)
			return
		}
		p.addWaiting(1)
		over := p.waitForChange(r, changed, deadline)
		p.addWaiting(-1)
		if over {
			p.writeUnchanged(w, o)
			return
		}
	}
}

// waitForChange waits for a change and reports whether the deadline passed or the
// caller disconnected before it.
func (p *Platform) waitForChange(r *http.Request, changed chan struct{}, deadline *time.Timer) bool {
	select {
	case <-changed:
		return false
	case <-deadline.C:
		return true
	case <-r.Context().Done():
		return true
	}
}

func (p *Platform) writeUnchanged(w http.ResponseWriter, o *object) {
	if o == nil {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

func (p *Platform) countRead(watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		p.counts.Watches++
		return
	}
	p.counts.Reads++
}

func (p *Platform) addWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

func writeObject(w http.ResponseWriter, o *object, stale bool) {
	data, t := o.data, o.tag
	if stale && o.previous != nil {
		data, t.version = o.previous, o.version-1
	}
	w.Header().Set("ETag", t.etag())
	_, _ = w.Write(data)
}

func (p *Platform) handleWrite(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, "object exceeds the size limit", http.StatusRequestEntityTooLarge)
		return
	}
	if p.applySwitches(w) {
		return
	}
	written, drop, ok := p.replace(mux.Vars(r)["name"], data, r.Header)
	switch {
	case !ok:
		http.Error(w, "If-Match does not name the current version", http.StatusPreconditionFailed)
	case drop:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", written.etag())
		w.WriteHeader(http.StatusNoContent)
	}
}

// replace stores an object if its version matches the If-Match header. drop tells
// the caller not to send a response.
func (p *Platform) replace(name string, data []byte, h http.Header) (written tag, drop, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	o := p.objects[name]
	if o == nil && h.Get("If-Match") != "" {
		return tag{}, false, false
	}
	if o != nil && h.Get("If-Match") != o.etag() {
		return tag{}, false, false
	}
	p.revision++
	next := &object{data: data, tag: tag{p.era, p.revision}}
	if o != nil {
		next.previous = o.data
	}
	p.objects[name] = next
	p.notifyWaiters()
	return next.tag, p.switches.DropWriteResponses, true
}

func (p *Platform) handleGetSwitches(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	report := Report{p.switches, p.counts}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func (p *Platform) handleSetSwitches(w http.ResponseWriter, r *http.Request) {
	var s Switches
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetSwitches(s)
}

func (t tag) etag() string {
	return `"` + strconv.FormatInt(t.era, 10) + "." + strconv.FormatInt(t.version, 10) + `"`
}

// parseWait returns the wait in the Prefer header, or zero if there is none.
func parseWait(r *http.Request) time.Duration {
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
