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

// TestKeeperEndsIdleConnections guards against idle connections that pile up when
// refused callers retry on new connections and leave the old ones open.
func TestKeeperEndsIdleConnections(t *testing.T) {
	cases := map[string]struct {
		limit  time.Duration
		after  time.Duration
		again  bool
		closed bool
	}{
		"within the limit":        {15 * time.Second, 14 * time.Second, false, false},
		"beyond the limit":        {15 * time.Second, 17 * time.Second, false, true},
		"used again meanwhile":    {15 * time.Second, 17 * time.Second, true, false},
		"no limit, two minutes":   {0, 110 * time.Second, false, false},
		"no limit, after minutes": {0, 122 * time.Second, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				k := newConnectionLimiter(400, func() time.Duration { return c.limit })
				go k.run(t.Context())
				near, far := net.Pipe()
				k.trackState(near, http.StateNew)
				k.trackState(near, http.StateIdle)
				if c.again {
					// Between two checks, and within the limit.
					time.Sleep(c.limit - 1500*time.Millisecond)
					k.trackState(near, http.StateActive)
				}
				time.Sleep(c.after)
				err := near.SetDeadline(time.Time{})
				g.Expect(errors.Is(err, io.ErrClosedPipe)).To(Equal(c.closed))
				g.Expect(far.Close()).To(Succeed())
			})
		})
	}
}

// TestKeeperAsksToClose checks that callers are asked to close their connections
// while these use more than a quarter of the file limit.
func TestKeeperAsksToClose(t *testing.T) {
	cases := map[string]struct {
		files  uint32
		open   int
		closes bool
	}{
		"few":             {400, 100, false},
		"many":            {400, 101, true},
		"many have ended": {400, 0, false},
		"no limit, few":   {0, 1000, false},
		"no limit, many":  {0, 1001, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := &Node{connections: newConnectionLimiter(c.files, func() time.Duration { return 0 })}
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
