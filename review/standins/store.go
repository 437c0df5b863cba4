package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name with
// one revision counter, listings and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// staleness is the age of the data that calls with staleOk return.
	staleness time.Duration
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	kind    string
	at      time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object, as the operator does.
func (s *store) put(kind, name string, spec []byte) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec []byte) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o = object{Metadata: metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(event{kind: kind, at: time.Now(), Object: o})
	return o
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the nodes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/quetzalhub/objects/"), "/")
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.one(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	lag := s.lagOf(r)
	s.mu.Lock()
	found, revision := map[string]object{}, s.revision
	for _, e := range s.history {
		if time.Since(e.at) < lag {
			revision = e.Object.Metadata.Revision - 1
			break
		}
		if e.kind != kind {
			continue
		}
		found[e.Object.Metadata.Name] = e.Object
		if e.Deleted {
			delete(found, e.Object.Metadata.Name)
		}
	}
	s.mu.Unlock()
	items := []object{}
	for name, o := range found {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": revision})
}

// lagOf returns the age of the data that a call gets.
func (s *store) lagOf(r *http.Request) time.Duration {
	if r.URL.Query().Get("staleOk") == "1" {
		return s.staleness
	}
	return 0
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	lag := s.lagOf(r)
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		revision, changed, soon := s.revision, s.changed, time.Hour
		for _, e := range s.history {
			if left := lag - time.Since(e.at); left > 0 {
				// The old data don't hold this change yet.
				revision, soon = e.Object.Metadata.Revision-1, left
				break
			}
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		revision = max(revision, after)
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(soon):
		case <-r.Context().Done():
			return
		case <-timer.C:
			waiting = false
		}
	}
}

func (s *store) one(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var doc object
	if len(body) > 0 && json.Unmarshal(body, &doc) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = doc.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		reply(w, http.StatusConflict, present)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.putLocked(kind, name, doc.Spec))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case doc.Metadata.Revision != 0 && doc.Metadata.Revision != present.Metadata.Revision:
		reply(w, http.StatusConflict, present)
	case r.Method == http.MethodPut && string(doc.Spec) == string(present.Spec):
		reply(w, http.StatusOK, present)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.putLocked(kind, name, doc.Spec))
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		present.Metadata.Revision = s.revision
		s.record(event{kind: kind, at: time.Now(), Object: present, Deleted: true})
		reply(w, http.StatusOK, present)
	default:
		reply(w, http.StatusOK, present)
	}
}
