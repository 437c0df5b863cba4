package verifier

import (
	"io"
	"net"
	"sync"
	"time"
)

// connection is a connection whose reads return a reset that a write has got. Reads and writes may run
// at the same time.
type connection struct {
	net.Conn

	// mu is held while a write is under way and protects lost.
	mu sync.Mutex
	// lost is the error of a write that hides a reset from reads.
	lost error
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if hidesReset(err) {
		c.lost = err
	}
	return n, err
}

// Read reads from the connection.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the error for which a read has returned it.
func (c *connection) endError() error {
	if !c.mu.TryLock() {
		// The write that is under way may have got the error. It is interrupted, since the peer
		// sends nothing more.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return io.EOF
}
