package supervisor_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/supervisor"
)

// recalledForeign is an instance of another service that an earlier process has kept.
func recalledForeign(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) {
		s.Recall(supervisor.Statement{ID: id, Born: born, Service: "stock"})
	}
}

// unhealthy makes health checks fail with the ID of the instance that answers.
func unhealthy(id string) func(*supervisor.Supervisor, *upstream) {
	return func(_ *supervisor.Supervisor, u *upstream) { u.setUnhealthy(id) }
}

func verify(s *supervisor.Supervisor, _ *upstream) { s.Verify() }

// TestLocalService guards against calls that carry the name of a service whose instance has
// ended, since its address has gone to an instance of another service, and against names
// that a report of another writer changes.
func TestLocalService(t *testing.T) {
	const own, other, unknown = "orders", "stock", ""
	type step struct {
		action  func(*supervisor.Supervisor, *upstream)
		service string
	}
	start := []step{{report("a", 10, 1, false), own}, {healthy("a"), own}}
	cases := map[string][]step{
		"settings alone":                 {{wait(time.Second), own}},
		"an instance of another service": append(start, step{vacate, own}, step{healthy("z"), own}, step{foreignReport("z", 20), other}, step{wait(20 * time.Second), other}),
		"an instance of another service after a lost one": append(start,
			step{vacate, own}, step{observe(forwarder.Unreachable), own}, step{healthy("z"), unknown}, step{foreignReport("z", 20), other}),
		"another instance of the service, found before its report": append(start,
			step{observe(forwarder.Unreachable), own}, step{healthy("b"), own}, step{observe(forwarder.Reassigned), unknown}, step{report("b", 20, 1, false), own}),
		"an instance of another service that leaves no trace but its report": append(start, step{vacate, own}, step{foreignReport("z", 20), unknown}, step{wait(2 * time.Second), other}),
		"an instance of another service that is not healthy":                 append(start, step{unhealthy("z"), own}, step{foreignReport("z", 20), other}),
		"an instance of another service whose clock was set back":            append(start, step{healthy("z"), own}, step{foreignReport("z", 5), other}),
		"a report of another writer":                                         append(start, step{foreignReport("z", 20), own}, step{foreignReport("a", 20), own}, step{wait(time.Second), own}),
		"the address comes back": append(start,
			step{healthy("z"), own}, step{foreignReport("z", 20), other}, step{healthy("b"), unknown}, step{report("b", 30, 1, false), own}),
		"a late report of the service after the address has gone to another": append(start,
			step{healthy("z"), own}, step{foreignReport("z", 20), other}, step{report("a", 10, 9, false), other}, step{report("b", 15, 1, false), other}),
		"a late report of another service that has ended, before the next instance answers": {
			{report("a", 10, 1, false), own}, {foreignReport("z", 5), unknown}, {wait(2 * time.Second), own},
		},
		"a late report of another service after the address has come back": append(start,
			step{report("b", 30, 1, false), own}, step{healthy("b"), own}, step{foreignReport("z", 20), own}),
		"an instance that leaves, then one of another service": append(start,
			step{leave("a", 10), own}, step{healthy("z"), own}, step{foreignReport("z", 20), other}),
		"new settings before the new instance is reported": append(start,
			step{healthy("z"), own}, step{verify, unknown}, step{foreignReport("z", 20), other}),
		"new settings before any report":        {{healthy("z"), own}, {verify, unknown}, {foreignReport("z", 20), other}},
		"new settings and nothing there":        {{verify, own}},
		"new settings beside the same instance": append(start, step{verify, own}),
		"new settings beside a silent instance": append(start, step{vacate, own}, step{verify, own}),
		"a restart beside an instance of another service": {
			{recalledForeign("z", 20), unknown}, {healthy("z"), other},
		},
		"a restart with new settings before the new instance is reported": {
			{recalledForeign("z", 20), unknown}, {healthy("b"), unknown}, {report("b", 30, 1, false), own},
		},
		"a restart with earlier settings before the new instance is reported": {
			{recalled("a", 10), own}, {healthy("z"), unknown}, {foreignReport("z", 20), other},
		},
		"a restart beside its own upstream": {
			{recalled("a", 10), own}, {healthy("a"), own}, {report("a", 10, 9, false), own},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			withSupervisor(t, func(g *WithT, s *supervisor.Supervisor, u *upstream) {
				for i, st := range steps {
					st.action(s, u)
					time.Sleep(500 * time.Millisecond)
					service, ok := s.LocalService()
					g.Expect(ok).To(Equal(st.service != unknown), "step %d", i)
					g.Expect(service).To(Equal(st.service), "step %d", i)
				}
			})
		})
	}
}

// TestLocalServiceAtOnce guards against calls between the report of an instance of another
// service and the health check that tells whether it is there.
func TestLocalServiceAtOnce(t *testing.T) {
	withSupervisor(t, func(g *WithT, s *supervisor.Supervisor, u *upstream) {
		healthy("a")(s, u)
		report("a", 10, 1, false)(s, u)
		time.Sleep(time.Second)
		healthy("z")(s, u)
		foreignReport("z", 20)(s, u)
		_, ok := s.LocalService()
		g.Expect(ok).To(BeFalse())
		synctest.Wait()
		service, ok := s.LocalService()
		g.Expect(ok).To(BeTrue())
		g.Expect(service).To(Equal("stock"))
		_, code := s.UpstreamFor("orders")
		g.Expect(code).NotTo(BeZero(), "the instance of the service is not there")
	})
}
