// Package breaker implements a fake peer that answers with bytes of its own and breaks off its
// connections, for tests of what reads answers.
//
// # Usage
//
//	a := breaker.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Ending: breaker.Reset}
//	server := httptest.NewServer(a)
package breaker

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"
)

// Ending is how a connection ends after the answer.
type Ending int

// Ways to end a connection.
const (
	// Close ends the answer in order, reads what is still sent and closes the connection.
	Close Ending = iota
	// Reset discards the connection.
	Reset
	// CloseAndReset ends the answer in order and discards the connection then.
	CloseAndReset
	// CloseAndStall ends the answer in order and reads nothing more for a time.
	CloseAndStall
	// Stay leaves the connection open until the peer closes it.
	Stay
)

// resetDelay is the time after which a connection is discarded. The answer must have arrived by
// then, since a reset discards what is in transit.
const resetDelay = 20 * time.Millisecond

// stallTime is the time for which a stalled connection stays open.
const stallTime = 3 * time.Second

// Answer is a handler that sends the same bytes to each request, whatever they are.
type Answer struct {
	// Text is the answer with its head.
	Text   string
	Ending Ending
	// Reads is the number of bytes of the request's body that are read before the answer.
	Reads int64
	// Ended, if set, is called once the peer has got the end of the answer.
	Ended func()
}

// ServeHTTP sends the answer and ends the connection.
func (a Answer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.CopyN(io.Discard, r.Body, a.Reads); err != nil {
		return
	}
	conn, input, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return
	}
	a.end(conn)
	if a.Ended != nil {
		a.Ended()
	}
	if a.Ending == CloseAndStall {
		time.Sleep(stallTime)
		return
	}
	// A connection that was discarded returns an error.
	_, _ = io.Copy(io.Discard, input)
}

func (a Answer) end(conn net.Conn) {
	if c, ok := conn.(*tls.Conn); ok {
		if a.Ending != Reset && a.Ending != Stay {
			_ = c.CloseWrite()
		}
		conn = c.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if a.Ending == Close || a.Ending == CloseAndReset || a.Ending == CloseAndStall {
		_ = tcp.CloseWrite()
	}
	if a.Ending == Reset || a.Ending == CloseAndReset {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
