package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait is the longest wait of a watch, in milliseconds.
const maxWait = 30000

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the metadata store of the platform. It keeps its whole history.
type store struct {
	server *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	// changed is closed at the next change.
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP answers a call to the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/quetzalhub/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, o := s.apply(r.Method, kind, name, r.URL.Query().Get("revision"), body)
		if o == nil {
			reply(w, status, map[string]string{})
			return
		}
		reply(w, status, o)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, maxWait)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

// apply carries out a call that reads or changes one object.
func (s *store) apply(method, kind, name, revision string, body []byte) (int, *object) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, ok := s.objects[kind][name]
	expected, _ := strconv.ParseUint(revision, 10, 64)
	if expected == 0 {
		expected = sent.Metadata.Revision
	}
	switch {
	case method == http.MethodPost && ok, ok && expected != 0 && expected != present.Metadata.Revision:
		return http.StatusConflict, &present
	case method != http.MethodPost && !ok:
		return http.StatusNotFound, nil
	case method == http.MethodGet:
		return http.StatusOK, &present
	case method == http.MethodDelete:
		s.record(kind, present, true)
		return http.StatusOK, &present
	case method == http.MethodPut && bytes.Equal(present.Spec, sent.Spec):
		return http.StatusOK, &present
	}
	next := object{Metadata: metadata{Name: name, CreatedRev: present.Metadata.CreatedRev, Finalizers: []string{}}, Spec: sent.Spec}
	next = s.record(kind, next, false)
	if method == http.MethodPost {
		return http.StatusCreated, &next
	}
	return http.StatusOK, &next
}

// record stores a change. The caller holds the lock.
func (s *store) record(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	}
	s.history = append(s.history, change{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// putConfig writes the configuration as the operator does. The store has acknowledged it when
// putConfig returns.
func (s *store) putConfig(version int, config map[string]any) {
	config["version"] = fmt.Sprintf("r%d", version)
	spec, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects["config"]["main"]
	o.Metadata.Name, o.Spec = "main", spec
	s.record("config", o, false)
}
