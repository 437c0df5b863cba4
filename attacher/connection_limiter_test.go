package attacher

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestConnectionLimiterClosesIdleConnections guards against idle connections that
// pile up when refused callers retry on new connections and leave the old ones open.
func TestConnectionLimiterClosesIdleConnections(t *testing.T) {
	cases := map[string]struct {
		timeout time.Duration
		idleFor time.Duration
		reused  bool
		closed  bool
	}{
		"within the timeout":        {15 * time.Second, 14 * time.Second, false, false},
		"past the timeout":          {15 * time.Second, 17 * time.Second, false, true},
		"reused before the timeout": {15 * time.Second, 17 * time.Second, true, false},
		"default timeout, 110 s":    {0, 110 * time.Second, false, false},
		"default timeout, 122 s":    {0, 122 * time.Second, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l := newConnectionLimiter(400, func() time.Duration { return c.timeout })
				go l.run(t.Context())
				server, client := net.Pipe()
				l.trackState(server, http.StateNew)
				l.trackState(server, http.StateIdle)
				if c.reused {
					// Between two checks, and within the timeout.
					time.Sleep(c.timeout - 1500*time.Millisecond)
					l.trackState(server, http.StateActive)
				}
				time.Sleep(c.idleFor)
				err := server.SetDeadline(time.Time{})
				g.Expect(errors.Is(err, io.ErrClosedPipe)).To(Equal(c.closed))
				g.Expect(client.Close()).To(Succeed())
			})
		})
	}
}

// TestConnectionLimiterAsksToClose guards against a node that runs out of files: it
// checks that callers are asked to close their connections while these use more
// than a quarter of the file limit.
func TestConnectionLimiterAsksToClose(t *testing.T) {
	cases := map[string]struct {
		maxFiles uint32
		open     int
		closes   bool
	}{
		"at the limit":           {400, 100, false},
		"over the limit":         {400, 101, true},
		"none open":              {400, 0, false},
		"default limit, at it":   {0, 1000, false},
		"default limit, over it": {0, 1001, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := &Node{connections: newConnectionLimiter(c.maxFiles, func() time.Duration { return 0 })}
			var conns []net.Conn
			for range c.open {
				conn, _ := net.Pipe()
				n.connections.trackState(conn, http.StateNew)
				conns = append(conns, conn)
			}
			w := httptest.NewRecorder()
			n.closeConnections(http.NotFoundHandler()).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			g.Expect(w.Header().Get("Connection") == "close").To(Equal(c.closes))
			for _, conn := range conns {
				n.connections.trackState(conn, http.StateClosed)
			}
			g.Expect(n.connections.count()).To(BeZero())
		})
	}
}
