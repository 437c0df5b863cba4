package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// slots is the number of requests that an endpoint processes at a time.
const slots = 156

// endpoint is a stand-in of an application endpoint: one incarnation, from its start to
// its end.
type endpoint struct {
	lab                  *lab
	id, service, address string
	// control is the address to which the endpoint sends its heartbeats, that of its machine.
	control string
	zone    string
	born    int64
	server  *http.Server
	cancel  context.CancelFunc
	active  atomic.Int64
}

// run is one request that an endpoint began to work on.
type run struct {
	id, method, path  string
	service, instance string
}

// startEndpoint starts an incarnation on the address of a machine.
func (l *lab) startEndpoint(m *machine, service, id string) (*endpoint, error) {
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{lab: l, id: id, service: service, address: m.app, control: m.control, zone: m.zone, born: time.Now().UnixMilli(), cancel: cancel}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat(ctx)
	l.note("endpoint %s of %s starts at %s beside %s", id, service, m.app, m.name)
	return e, nil
}

// crash ends the incarnation at once, without a word.
func (e *endpoint) crash() {
	e.cancel()
	_ = e.server.Close()
	e.lab.note("endpoint %s of %s at %s ends", e.id, e.service, e.address)
}

// beat sends the heartbeats.
func (e *endpoint) beat(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","slots":%d},"status":{"state":"ready","sequence":%d,"coldRemaining":"0ms"}}`,
			e.address, e.born, e.service, e.zone, slots, sequence)
		if status, err := e.lab.sendBeat(ctx, e.control, e.id, body); err == nil && sequence <= 3 {
			e.lab.note("heartbeat %d of %s (service %s) to %s: %d", sequence, e.id, e.service, e.control, status)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// sendBeat sends a heartbeat and returns the status of the answer. The id is as in the path.
func (l *lab) sendBeat(ctx context.Context, control, id, body string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/quetzalhub/instances/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := l.web.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// ServeHTTP works on a request, or answers a health check.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != e.id:
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer e.active.Add(-1)
	if e.active.Add(1) > slots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.lab.ran(run{id, r.Method, r.URL.RequestURI(), e.service, e.id})
	w.Header().Set("Response-Signature", "3e1b."+id)
	work, status := e.lab.work, http.StatusOK
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && work > time.Duration(left)*time.Millisecond {
		work, status = time.Duration(left)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answerBody(id))
}

// answerBody returns the body of the answer to a request.
func answerBody(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }
