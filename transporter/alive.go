package transporter

import (
	"crypto/tls"
	"net"
	"syscall"
)

// alive reports, without blocking, whether the idle connection is still open and
// has no unread data. A connection that the peer has closed, or on which it has sent
// unexpected data, cannot be reused.
func (c *connection) alive() bool {
	raw, ok := rawConn(c.Conn)
	if !ok {
		return true
	}
	open := false
	err := raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, err := syscall.Read(int(fd), buffer[:])
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

func rawConn(c net.Conn) (syscall.RawConn, bool) {
	if tlsConn, ok := c.(*tls.Conn); ok {
		c = tlsConn.NetConn()
	}
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	return raw, err == nil
}
