// Package drainer serves HTTP connections, and ends them without the loss of a request.
//
// A server that net/http shuts down answers nothing to a request whose head it has read after
// the begin of the shutdown, and takes a connection for idle until the next head on it is
// whole. A Server closes a connection only if nothing of a request has arrived on it; what
// arrives until then reaches the handler. It reports connections that it ends in spite of
// that, such as those that are still open when a drain runs out of time.
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

const (
	// firstRequestTimeout is the time, from the begin of a drain, after which connections
	// without a request are closed.
	firstRequestTimeout = 250 * time.Millisecond
	// nextRequestTimeout is the time after the last answer, which may not have asked the caller to
	// close, after which a drain closes the connection.
	nextRequestTimeout = 50 * time.Millisecond
	// headTimeout is the time from its first byte after which a drain no longer waits for the
	// rest of a head.
	headTimeout = time.Second
	// acceptTime bounds the wait for connections that the kernel has accepted, and acceptInterval
	// is the time between two looks at them.
	acceptTime, acceptInterval = 250 * time.Millisecond, time.Millisecond
	// inputInterval is the time between two looks at a connection whose input is not read yet.
	inputInterval = 5 * time.Millisecond
)

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

// Server is a server that drains. Its Shutdown is not used.
type Server struct {
	*http.Server
	options  options
	draining atomic.Bool
	// changed receives a value if a connection has become idle or is closed.
	changed chan struct{}

	mu       sync.Mutex
	listener net.Listener
	// served is closed once connections are no longer accepted.
	served chan struct{}
	conns  map[*conn]bool
}

// New returns a server. While it drains, answers ask callers to close their connection.
func New(handler http.Handler, opts ...Option) *Server {
	s := &Server{changed: make(chan struct{}, 1), conns: map[*conn]bool{}}
	s.Server = &http.Server{ConnState: s.trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})}
	for _, o := range opts {
		o(&s.options)
	}
	return s
}

// Serve accepts connections until the server drains, and returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = l, served
	s.mu.Unlock()
	if s.draining.Load() {
		// An error means that it is already closed.
		_ = l.Close()
	}
	err := s.Server.Serve(&listener{l, s})
	if s.draining.Load() {
		return http.ErrServerClosed
	}
	return err
}

// CloseIdle closes a connection, which OnState has passed, unless something of a request has
// arrived on it.
func CloseIdle(c net.Conn) {
	if c, ok := c.(*conn); ok {
		c.closeIdle()
		return
	}
	// An error means that it is already closed.
	_ = c.Close()
}

// Drain closes the listener, and connections once no request is expected on them. It returns
// when all are closed. Those that are open when the context ends are closed in any case.
func (s *Server) Drain(ctx context.Context) error {
	begin := time.Now()
	s.draining.Store(true)
	s.closeListener(ctx, begin)
	for {
		open, wait := s.drainConns(begin)
		if open == 0 {
			_ = s.Close()
			return nil
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-s.changed:
		case <-timer:
		case <-ctx.Done():
			_ = s.Close()
			return ctx.Err()
		}
	}
}

// closeListener closes the listener once no connections wait at it, and returns when all that
// were accepted are known.
func (s *Server) closeListener(ctx context.Context, begin time.Time) {
	s.mu.Lock()
	l, served := s.listener, s.served
	s.mu.Unlock()
	if l == nil {
		return
	}
	for ctx.Err() == nil && time.Since(begin) < acceptTime && hasQueue(l) {
		time.Sleep(acceptInterval)
	}
	// An error means that it is already closed.
	_ = l.Close()
	select {
	case <-served:
	case <-ctx.Done():
	}
}

// drainConns interrupts the connections on which no request is expected. It returns the
// number of open connections, and the time until there may be another such one, or zero.
func (s *Server) drainConns(begin time.Time) (open int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if w := c.drain(begin); w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	return len(s.conns), wait
}

func (s *Server) add(c net.Conn) *conn {
	added := &conn{Conn: c, server: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[added] = true
	return added
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.notify()
}

// notify wakes up a drain.
func (s *Server) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Server) trackState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.setState(state)
		if state == http.StateHijacked {
			s.remove(c)
		}
	}
	if state == http.StateIdle {
		s.notify()
	}
	if s.options.onState != nil {
		s.options.onState(c, state)
	}
}
