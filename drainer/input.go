package drainer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasInput reports whether bytes have arrived on a connection that are not read yet.
func hasInput(c net.Conn) bool {
	for w, ok := c.(interface{ NetConn() net.Conn }); ok; w, ok = c.(interface{ NetConn() net.Conn }) {
		c = w.NetConn()
	}
	n := 0
	control(c, func(fd int) {
		// A connection that can't be read has no input.
		n, _, _ = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// hasQueue reports whether connections to a listener wait to be accepted.
func hasQueue(l net.Listener) bool {
	ready := false
	control(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0
	})
	return ready
}

// control calls a function with the file of a connection or listener that has one.
func control(c any, f func(fd int)) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	// An error means that it is closed.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
