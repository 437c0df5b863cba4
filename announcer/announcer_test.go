package announcer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/announcer"
	"quetzalhub/forwarder"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// published keeps the endpoints made known last.
type published struct{ endpoints []*schema.Endpoint }

func (p *published) Announce(endpoints []*schema.Endpoint) { p.endpoints = endpoints }

func newAnnouncer() (*announcer.Announcer, *published) {
	p := &published{}
	return announcer.New(p, func() forwarder.ConcurrencyLimiter { return guard.New() }), p
}

func put(a *announcer.Announcer, body string) int {
	w := httptest.NewRecorder()
	a.ServeHTTP(w, httptest.NewRequest("PUT", "/quetzal/announce", strings.NewReader(body)))
	return w.Code
}

const ready = `{"service":"orders","address":"127.0.0.1:9000","state":"ready"}`

func TestDocuments(t *testing.T) {
	cases := map[string]struct {
		body   string
		status int
	}{
		"ready":         {ready, 204},
		"no service":    {`{"address":"127.0.0.1:9000","state":"ready"}`, 400},
		"host name":     {`{"service":"orders","address":"localhost:9000","state":"ready"}`, 400},
		"unknown state": {`{"service":"orders","address":"127.0.0.1:9000","state":"busy"}`, 400},
		"not JSON":      {`service=orders`, 400},
		"far too large": {`{"service":"` + strings.Repeat("x", 5000) + `"}`, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, _ := newAnnouncer()
			NewWithT(t).Expect(put(a, c.body)).To(Equal(c.status))
		})
	}
}

// TestLifeOfAnUpstream follows an upstream that is announced, drains, lapses
// and comes back, and the stop of its node.
func TestLifeOfAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		a, p := newAnnouncer()
		go a.Run(ctx)
		code := func() refuser.Code {
			_, c := a.UpstreamFor("orders")
			return c
		}
		g.Expect(code()).To(Equal(refuser.EndpointMissing))
		put(a, ready)
		g.Expect(code()).To(Equal(refuser.None))
		put(a, strings.Replace(ready, "ready", "draining", 1))
		g.Expect(code()).To(Equal(refuser.Draining), "no new work from the moment it is known")
		g.Expect(p.endpoints[0].GetPhase()).To(Equal(schema.Phase_PHASE_DRAINING))
		time.Sleep(4 * time.Second)
		g.Expect(code()).To(Equal(refuser.EndpointMissing))
		g.Expect(p.endpoints).To(BeEmpty())
		put(a, ready)
		g.Expect(code()).To(Equal(refuser.None))
		a.Drain()
		put(a, ready)
		g.Expect(code()).To(Equal(refuser.Draining))
		cancel()
		time.Sleep(time.Second)
	})
}
