package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that an endpoint has begun to run.
type arrival struct {
	id, instance, service string
	at, end               time.Time
	method, target, host  string
	bodySum               string
	tenant, caller        string
	// answered is true if the endpoint has written its whole answer.
	answered bool
}

// endpoint is one incarnation of an application endpoint.
type endpoint struct {
	id, service, zone string
	address, control  string
	born              int64
	slots             int
	heartbeat         time.Duration
	log               *record

	server *http.Server
	client *http.Client
	cancel context.CancelFunc

	mu       sync.Mutex
	leaving  bool
	silent   bool
	sequence int
	conns    map[net.Conn]bool
	arrivals []*arrival
}

// next returns an endpoint of a service that takes the address of one that has ended.
func (e *endpoint) next(id, service string) *endpoint {
	return &endpoint{id: id, service: service, zone: e.zone, address: e.address, control: e.control, heartbeat: e.heartbeat, log: e.log}
}

// start opens the listener of an endpoint and sends the first heartbeat, which arrives after a
// delay.
func (e *endpoint) start(delay time.Duration) error {
	e.conns, e.born = map[net.Conn]bool{}, time.Now().UnixMilli()
	if e.slots == 0 {
		e.slots = 150
	}
	e.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.server = &http.Server{Handler: e, ConnState: e.track, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat(ctx, delay)
	e.log.add("endpoint %s of %s started, born %d", e.id, e.service, e.born)
	return nil
}

// fallSilent makes an endpoint take no more notice of anything: it sends no heartbeat, and
// connections to it stay without an answer.
func (e *endpoint) fallSilent() {
	e.log.add("endpoint %s of %s falls silent", e.id, e.service)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
}

func (e *endpoint) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// crash ends an endpoint at once: its connections are reset and it says nothing.
func (e *endpoint) crash() {
	e.log.add("endpoint %s of %s ends, born %d", e.id, e.service, e.born)
	e.cancel()
	e.mu.Lock()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = e.server.Close()
}

// beat sends heartbeats until the endpoint leaves. The first one is on the way for a time.
func (e *endpoint) beat(ctx context.Context, delay time.Duration) {
	body := e.heartbeatBody()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.mu.Lock()
		leaving, silent := e.leaving, e.silent
		e.mu.Unlock()
		if silent {
			return
		}
		_, _ = e.call(http.MethodPut, body)
		if leaving {
			return
		}
		timer.Reset(e.heartbeat)
		body = e.heartbeatBody()
	}
}

// heartbeatBody returns the next heartbeat.
func (e *endpoint) heartbeatBody() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": "ready", "sequence": e.sequence, "coldRemaining": "0ms"},
	}
}

// leave announces with a DELETE that the endpoint leaves, without having been draining, and
// returns the time of the acknowledgement.
func (e *endpoint) leave() (time.Time, error) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	return e.call(http.MethodDelete, map[string]any{"born": e.born})
}

func (e *endpoint) call(method string, body any) (time.Time, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, err
	}
	req, err := http.NewRequest(method, "http://"+e.control+"/quetzalhub/instances/"+e.id, bytes.NewReader(data))
	if err != nil {
		return time.Time{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return time.Time{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		err = errors.Join(err, fmt.Errorf("status %d", resp.StatusCode))
	}
	return time.Now(), err
}

// plan returns what a path asks for: /prefix/w50/s1000/ is 50 ms of work and an answer of 1000
// bytes.
func plan(path string) (work time.Duration, size int) {
	for _, part := range strings.Split(path, "/") {
		if n, err := strconv.Atoi(strings.TrimPrefix(part, "w")); err == nil && strings.HasPrefix(part, "w") {
			work = time.Duration(n) * time.Millisecond
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(part, "s")); err == nil && strings.HasPrefix(part, "s") {
			size = n
		}
	}
	return work, size
}

// answerBody returns the answer to a request, which differs for each request and instance.
func answerBody(id, instance string, size int) []byte {
	seed := sha256.Sum256([]byte(id + "/" + instance))
	return bytes.Repeat(seed[:], size/len(seed)+1)[:size]
}

// ServeHTTP runs a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/healthz" {
		e.mu.Lock()
		healthy := !e.leaving
		e.mu.Unlock()
		w.Header().Set("Instance-Id", e.id)
		if !healthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := &arrival{
		id: id, instance: e.id, service: e.service, at: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host,
		tenant: r.Header.Get("Tenant"), caller: r.Header.Get("Caller-Service"),
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	sum := sha256.New()
	_, err := io.Copy(sum, r.Body)
	a.bodySum = fmt.Sprintf("%x", sum.Sum(nil)[:8])
	work, size := plan(r.URL.Path)
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		err = r.Context().Err()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body := answerBody(id, e.id, size)
	w.Header().Set("Response-Signature", "sig."+id+"."+e.id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	a.end, a.answered = time.Now(), true
	e.mu.Unlock()
}

// runs returns what the endpoint has run.
func (e *endpoint) runs() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []arrival
	for _, a := range e.arrivals {
		list = append(list, *a)
	}
	return list
}
