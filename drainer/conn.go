package drainer

import (
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
	return &conn{Conn: c, server: l.server}, nil
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
	// answered is true once a byte of the answer to what was read is written.
	answered bool
	// gone is true if the caller has ended the connection, and closed if the server has.
	gone, closed bool
}

// NetConn returns the connection below this one.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.read += n
		c.lastRead = time.Now()
		// While a handler runs, net/http reads one byte ahead, to notice the end of the
		// connection. It belongs to the next request.
		if c.state == http.StateActive && len(p) == 1 {
			c.ahead += n
		}
	}
	c.gone = c.gone || isGone(err)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.answered = true
	}
	c.gone = c.gone || isGone(err)
	return n, err
}

// isGone reports whether an error tells that the caller has ended the connection.
func isGone(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// setState records a state change.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.read, c.ahead, c.answered = c.ahead, 0, false
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
	return c.Conn.Close()
}
