// Package drainer serves HTTP connections and tells which of them it ends without an answer to
// what it has read.
//
// # Usage
//
//	s := drainer.New(handler, drainer.OnUnanswered(func(u drainer.Unanswered) { … }))
//	go s.Serve(listener)
//	…
//	err := s.Drain(ctx)
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// firstRequestTimeout is the time, from the begin of a drain, after which connections
// without a request are closed.
const firstRequestTimeout = 250 * time.Millisecond

// Unanswered describes a connection that the server ended although it had read a part of a
// request, or all of it, and had written no byte of an answer.
type Unanswered struct {
	Caller string
	// State is the state of the connection: new, active or idle.
	State http.ConnState
	// Read is the number of bytes that were read and not answered, and Age the time since
	// the last of them.
	Read int
	Age  time.Duration
	// Draining is true if the server drains.
	Draining bool
}

// Server is a server whose drain does not wait for connections that have never carried a
// request, as the shutdown of net/http does for several seconds.
type Server struct {
	*http.Server
	options  options
	draining atomic.Bool

	mu     sync.Mutex
	unused map[net.Conn]bool
}

// New returns a server.
func New(handler http.Handler, opts ...Option) *Server {
	s := &Server{Server: &http.Server{Handler: handler}, unused: map[net.Conn]bool{}}
	for _, o := range opts {
		o(&s.options)
	}
	s.ConnState = s.trackState
	return s
}

// Serve accepts connections until the server drains, and returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&listener{l, s})
}

func (s *Server) trackState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.setState(state)
	}
	s.mu.Lock()
	if state == http.StateNew {
		s.unused[c] = true
	} else {
		delete(s.unused, c)
	}
	s.mu.Unlock()
	if s.options.onState != nil {
		s.options.onState(c, state)
	}
}

// Drain closes the listener and waits for active requests until the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	timer := time.AfterFunc(firstRequestTimeout, s.closeUnused)
	defer timer.Stop()
	return s.Shutdown(ctx)
}

func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		// An error means that it is already closed.
		_ = c.Close()
	}
}
