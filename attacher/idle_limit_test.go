package attacher

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/drainer"
)

// singleListener accepts one connection.
type singleListener struct{ conns chan net.Conn }

func (l singleListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (singleListener) Close() error   { return nil }
func (singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestIdleLimitSparesRequests guards against the close of a connection, for being idle, of which
// the node has read a part of the next request.
func TestIdleLimitSparesRequests(t *testing.T) {
	const timeout = 4 * time.Second
	cases := map[string]struct {
		// begun and ended are the times, from the end of the last request, at which the next
		// head begins and ends.
		begun, ended time.Duration
		answered     bool
	}{
		"within the timeout":       {time.Second, 2 * time.Second, true},
		"over the end of it":       {3900 * time.Millisecond, 5900 * time.Millisecond, true},
		"after the end of it":      {5100 * time.Millisecond, 5200 * time.Millisecond, false},
		"whole before its end":     {3900 * time.Millisecond, 3900 * time.Millisecond, true},
		"over the end, many times": {3 * time.Second, 9 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				limiter := newConnectionLimiter(0, func() time.Duration { return timeout })
				go limiter.run(t.Context())
				s := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), drainer.OnState(limiter.trackState))
				server, client := net.Pipe()
				l := singleListener{make(chan net.Conn, 1)}
				l.conns <- server
				close(l.conns)
				go func() { _ = s.Serve(l) }()
				reader := bufio.NewReader(client)
				status := func() int {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						return 0
					}
					defer resp.Body.Close()
					return resp.StatusCode
				}
				_, err := fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: hall.example\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status()).To(Equal(http.StatusOK))
				time.Sleep(c.begun)
				_, _ = fmt.Fprint(client, "GET / HTTP/1.1\r\nHo")
				time.Sleep(c.ended - c.begun)
				_, _ = fmt.Fprint(client, "st: hall.example\r\n\r\n")
				g.Expect(status() != 0).To(Equal(c.answered))
				g.Expect(s.Close()).To(Succeed())
				g.Expect(client.Close()).To(Succeed())
			})
		})
	}
}
