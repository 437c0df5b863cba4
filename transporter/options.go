package transporter

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"quetzalhub/util/meter"
)

// Option configures a Transporter.
type Option func(*Transporter)

// Accept sets a predicate that matches responses to requests. A response that
// does not match belongs to an earlier request on the connection and is discarded.
func Accept(match func(*http.Request, *http.Response) bool) Option {
	return func(t *Transporter) { t.accept = match }
}

// OnReset sets a function that is called when a request finds all idle connections to its
// address closed, the last of them soon after its use. The peer has probably restarted.
func OnReset(notify func(address string)) Option {
	return func(t *Transporter) { t.onReset = notify }
}

// Count counts the bytes of connections.
func Count(c meter.Counter) Option {
	return func(t *Transporter) { t.counter = c }
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall
// does not name.
const tcpUserTimeout = 18

// UserTimeout closes connections whose sent data is not acknowledged within the
// given time, so that a dead peer is detected long before the default TCP timeouts.
// Keep-alive probes after one second without traffic detect it on idle connections.
//
// The timeout does not apply while a body is sent that the peer has asked for, since a peer
// that passes it on may read more slowly.
func UserTimeout(after time.Duration) Option {
	return func(t *Transporter) {
		t.userTimeout = after
		t.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
		t.dialer.Control = func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, after)
		}
	}
}

// setUserTimeout sets the timeout of a connection. Zero stands for that of the system.
func setUserTimeout(c syscall.RawConn, after time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(after.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
