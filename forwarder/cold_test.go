package forwarder_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/guard"
	"quetzalhub/refuser"
)

// coldLimiter refuses all requests, as that of a cold upstream that bears no more.
type coldLimiter struct {
	forwarder.ConcurrencyLimiter
	refused *atomic.Int32
}

func (l coldLimiter) Acquire(context.Context, guard.Request) (*guard.Permit, error) {
	l.refused.Add(1)
	return nil, &refuser.Error{Code: refuser.UpstreamCold}
}

// TestColdUpstreams guards against requests that fail because cold upstreams turn them away
// while another has room, that use up the only attempt of their route or the retry budget
// for it, or that are sent to all upstreams of a service while all are cold.
func TestColdUpstreams(t *testing.T) {
	cases := map[string]struct {
		cold, warm int
		status     int
		// refusals is the largest number of refusals by cold upstreams.
		refusals int
	}{
		"one of six is warm":   {5, 1, http.StatusOK, 5},
		"all are cold":         {30, 0, http.StatusServiceUnavailable, 7},
		"the only one is cold": {1, 0, http.StatusServiceUnavailable, 1},
		"all are warm":         {0, 3, http.StatusOK, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.budget = 0
			runs := newRunCounter()
			m.addNode("front", echo(runs))
			m.addRoute("back", false)
			m.state.Config.Routes[0].Attempts = 1
			refused := &atomic.Int32{}
			for range c.cold {
				n := m.addNode("back", echo(runs))
				n.limiter = coldLimiter{n.limiter, refused}
			}
			for range c.warm {
				m.addNode("back", echo(runs))
			}
			m.join()
			for range 5 {
				refused.Store(0)
				g.Expect(m.request(http.MethodPost, "/back", "id", "").status).To(Equal(c.status))
				g.Expect(int(refused.Load())).To(BeNumerically("<=", c.refusals))
			}
		})
	}
}
