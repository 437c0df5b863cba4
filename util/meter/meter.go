// Package meter counts the bytes of connections.
//
// # Usage
//
//	conn = meter.Wrap(conn, func(bytes int) { total.Add(int64(bytes)) })
package meter

import "net"

// Counter returns the function that counts the bytes of a new connection to an address. It is
// called by several goroutines.
type Counter func(address string) func(bytes int)

// Wrap returns a connection whose bytes are counted in both directions.
func Wrap(c net.Conn, count func(bytes int)) net.Conn { return conn{c, count} }

type conn struct {
	net.Conn
	count func(bytes int)
}

// Read reads from the connection.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write writes to the connection.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}
