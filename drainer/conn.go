package drainer

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// listener accepts connections of a Server.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.server.add(c), nil
}

// conn is a connection of a Server.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	state http.ConnState
	// read is the number of bytes read since the last answer, ahead the part of it that was
	// read while a request was active, and lastRead the time of the last read.
	read, ahead int
	lastRead    time.Time
	// headSince is the time of the first of these bytes, and idleSince that of the last answer.
	headSince, idleSince time.Time
	// answered is true once a byte of the answer to what was read is written.
	answered bool
	// gone is true if the caller has ended the connection, and closed if the server has.
	gone, closed bool
	// deadline is that for reads which the server has set. It is not in force while the
	// connection is interrupted.
	deadline    time.Time
	interrupted bool
	// ended is true once a read has failed by the interruption.
	ended bool
}

// NetConn returns the connection below this one.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = c.gone || isGone(err)
	if n == 0 {
		c.ended = c.ended || c.interrupted
		return n, err
	}
	c.lastRead = time.Now()
	if c.read == 0 {
		c.headSince = c.lastRead
	}
	c.read += n
	// While a handler runs, net/http reads one byte ahead, to notice the end of the
	// connection. It belongs to the next request.
	if c.state == http.StateActive && len(p) == 1 {
		c.ahead += n
	}
	c.resume()
	return n, err
}

// Write writes a part of an answer. It fails once an interruption has ended the reads, since
// net/http takes a head that ends so for a malformed one.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0 && !bytes.HasPrefix(p, continueLine)
	c.gone = c.gone || isGone(err)
	return n, err
}

// continueLine begins a response that is no answer.
var continueLine = []byte("HTTP/1.1 100 ")

// CloseWrite ends the answer while the server still reads, for callers that are still sending.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// isGone reports whether an error tells that the caller has ended the connection.
func isGone(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SetReadDeadline sets the deadline for reads, which doesn't end an interruption.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt lets reads fail, upon which the server closes the connection. A read that has
// got bytes already ends the interruption. The caller holds the lock.
func (c *conn) interrupt() {
	c.interrupted = true
	// An error means that it is already closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// resume ends an interruption. The caller holds the lock.
func (c *conn) resume() {
	if c.interrupted && !c.ended {
		c.interrupted = false
		// An error shows in the next read.
		_ = c.Conn.SetReadDeadline(c.deadline)
		c.server.notify()
	}
}

// closeIdle interrupts the connection if nothing of a request has arrived on it, or if the rest of
// a head is overdue.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.server.ReadHeaderTimeout
	overdue := limit > 0 && time.Since(c.headSince) > limit
	if c.state != http.StateActive && (c.read == 0 || overdue) && !hasInput(c.Conn) {
		c.interrupt()
	}
}

// drain interrupts the connection if no request is expected on it, for a drain that has begun
// at a time. It returns the time until it may be so, or zero if the state has to change first.
func (c *conn) drain(begin time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var until time.Time
	switch {
	case c.state == http.StateActive || c.interrupted || c.closed:
		return 0
	case hasInput(c.Conn):
		return inputInterval
	case c.read > 0:
		until = c.headSince.Add(headTimeout)
	case c.state == http.StateNew:
		until = begin.Add(firstRequestTimeout)
	default:
		until = c.idleSince.Add(nextRequestTimeout)
	}
	if left := time.Until(until); left > 0 {
		return left
	}
	c.interrupt()
	return 0
}

// setState records a state change.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.read, c.ahead, c.answered = c.ahead, 0, false
		c.headSince, c.idleSince = c.lastRead, time.Now()
	case http.StateActive:
		c.resume()
	}
	if state != http.StateClosed {
		c.state = state
	}
}

// Close closes the connection and reports it if what was read has no answer.
func (c *conn) Close() error {
	c.mu.Lock()
	unanswered := c.read > 0 && !c.answered && !c.gone && !c.closed
	c.closed = true
	u := Unanswered{
		Caller: c.RemoteAddr().String(), State: c.state, Read: c.read, Age: time.Since(c.lastRead), Draining: c.server.draining.Load(),
	}
	c.mu.Unlock()
	if f := c.server.options.onUnanswered; unanswered && f != nil {
		f(u)
	}
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}
