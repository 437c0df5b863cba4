package transporter

import (
	"crypto/tls"
	"net"
	"syscall"
)

// alive tells whether the other side has neither closed the idle connection nor
// sent anything on it, without waiting.
func (c *connection) alive() bool {
	raw, ok := rawConn(c.Conn)
	if !ok {
		return true
	}
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, err := syscall.Read(int(fd), buffer[:])
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

func rawConn(c net.Conn) (syscall.RawConn, bool) {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	return raw, err == nil
}
