package supervisor_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/supervisor"
	"quetzalhub/witness"
)

// upstream answers health checks with its identifier, or with an error if that is
// empty.
type upstream struct {
	mu     sync.Mutex
	id     string
	status forwarder.UpstreamStatus
	// vacant makes health checks find that nothing listens at the address.
	vacant bool
	// failing makes health checks fail with the identifier.
	failing bool
}

// set changes the response to health checks.
func (u *upstream) set(id string, s forwarder.UpstreamStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id, u.status, u.vacant, u.failing = id, s, false, false
}

// setUnhealthy makes health checks fail with an identifier.
func (u *upstream) setUnhealthy(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id, u.vacant, u.failing = id, false, true
}

// vacate ends the upstream, so that nothing listens at its address.
func (u *upstream) vacate() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.vacant = true
}

func (u *upstream) Probe(context.Context, string) (supervisor.Health, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.vacant {
		return supervisor.Health{}, errors.New("connection refused")
	}
	if u.id == "" || u.failing {
		return supervisor.Health{ID: u.id}, errors.New("upstream is not healthy")
	}
	return supervisor.Health{ID: u.id, Status: u.status}, nil
}

// step is an action and the code that UpstreamFor must return afterwards.
type step struct {
	action func(s *supervisor.Supervisor, u *upstream)
	code   refuser.Code
}

func report(id string, born int64, sequence uint64, draining bool) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) {
		s.Report(supervisor.Report{ID: id, Born: born, Sequence: sequence, Service: "orders", Slots: 20, Draining: draining})
	}
}

// foreignReport is a report that names another service.
func foreignReport(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) {
		s.Report(supervisor.Report{ID: id, Born: born, Sequence: 1, Service: "stock", Slots: 20})
	}
}

// recalled is what an earlier process of the node has kept.
func recalled(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) {
		s.Recall(supervisor.Statement{ID: id, Born: born, Service: "orders"})
	}
}

func vacate(_ *supervisor.Supervisor, u *upstream) { u.vacate() }

func healthy(id string) func(*supervisor.Supervisor, *upstream) {
	return func(_ *supervisor.Supervisor, u *upstream) { u.set(id, forwarder.UpstreamStatus{}) }
}

func leave(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) { s.Leave(id, born) }
}

func observe(o forwarder.Observation) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) { s.Observe("orders", o) }
}

// stated makes an instance state in a response that it leaves.
func stated(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) {
		s.ObserveStatus(id, born, forwarder.UpstreamStatus{Leaving: true})
	}
}

// healthyAndLeaving makes the health check succeed although the upstream leaves.
func healthyAndLeaving(id string) func(*supervisor.Supervisor, *upstream) {
	return func(_ *supervisor.Supervisor, u *upstream) {
		u.set(id, forwarder.UpstreamStatus{Leaving: true})
	}
}

func wait(d time.Duration) func(*supervisor.Supervisor, *upstream) {
	return func(*supervisor.Supervisor, *upstream) { time.Sleep(d) }
}

// unreadableID is an ID that is no valid UTF-8 text.
const unreadableID = "i-\xff\xfe"

// TestCurrentInstance guards against requests to an instance that has left, is
// unreachable or was replaced. This can happen when reports arrive late, twice or
// from earlier instances, or when the node itself has just started.
func TestCurrentInstance(t *testing.T) {
	const none, draining, ok = refuser.EndpointMissing, refuser.Draining, refuser.None
	cases := map[string][]step{
		"a restarted node does not trust reports alone": {
			{report("a", 10, 7, false), none}, {healthy("a"), ok},
		},
		"a restarted node finds the upstream by a health check": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 8, false), ok},
		},
		"a late report after the node restarted while the upstream was leaving": {
			{report("a", 10, 9, true), draining}, {report("a", 10, 8, false), draining}, {report("a", 10, 10, false), draining},
		},
		"an instance that left is not used again": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {leave("a", 10), draining}, {report("a", 10, 2, false), draining}, {healthy("a"), draining},
		},
		"an instance that left without its start time": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {leave("a", 0), draining}, {report("a", 10, 2, false), draining},
		},
		"a new instance takes over": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 5, false), ok}, {report("a", 10, 6, true), draining}, {report("b", 20, 1, false), ok},
		},
		"a restart under the same identifier": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 5, false), ok}, {leave("a", 10), draining}, {report("a", 20, 1, false), ok},
		},
		"a late report of an earlier instance": {
			{recalled("b", 20), none}, {healthy("b"), ok}, {report("b", 20, 1, false), ok}, {report("a", 10, 9, true), ok}, {report("a", 10, 10, false), ok},
		},
		"an unreachable upstream": {
			{recalled("a", 10), none},
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{healthy(""), ok},
			{observe(forwarder.Unreachable), none},
			{report("a", 10, 2, false), none},
			{healthy("a"), ok},
		},
		"another upstream has the address": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {healthy(""), ok}, {observe(forwarder.Reassigned), none},
		},
		"an upstream without reports": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {healthy(""), ok}, {wait(20 * time.Second), none},
		},
		"an upstream with late reports": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {wait(4 * time.Second), ok},
		},
		"an instance that states in a response that it leaves": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {stated("a", 10), draining}, {report("a", 10, 2, false), draining}, {report("b", 20, 1, false), ok},
		},
		"an instance that leaves before its start time is known": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {stated("a", 0), draining}, {report("a", 10, 1, false), draining}, {wait(10 * time.Second), draining},
		},
		"a late response of an earlier instance that leaves": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {report("a", 20, 1, false), ok}, {stated("a", 10), ok},
		},
		"an instance that leaves although its health check succeeds": {
			{recalled("a", 10), none}, {healthyAndLeaving("a"), none}, {report("a", 0, 1, false), none},
		},
		"an instance of another service has the address of a lost one": {
			{recalled("a", 10), none},
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{vacate, ok},
			{observe(forwarder.Unreachable), none},
			{foreignReport("z", 20), none},
			{healthy("z"), none},
			{wait(20 * time.Second), none},
			{report("b", 30, 1, false), none},
			{healthy("b"), ok},
		},
		"an unknown instance has the address of a lost one, before any report": {
			{recalled("a", 10), none},
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{vacate, ok},
			{observe(forwarder.Unreachable), none},
			{healthy("z"), none},
			{foreignReport("z", 20), none},
			{wait(20 * time.Second), none},
		},
		"another instance of the service has the address of a lost one": {
			{recalled("a", 10), none},
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{observe(forwarder.Reassigned), ok},
			{healthy(""), ok},
			{observe(forwarder.Unreachable), none},
			{healthy("b"), none},
			{report("b", 20, 1, false), ok},
		},
		"a node starts before an instance of another service": {
			{vacate, none}, {healthy("z"), none}, {foreignReport("z", 20), none}, {wait(20 * time.Second), none},
		},
		"a node starts before its upstream": {
			{vacate, none}, {healthy("a"), none}, {report("a", 10, 1, false), ok},
		},
		"a node starts beside an instance of another service": {
			{healthy("z"), none}, {foreignReport("z", 20), none}, {wait(20 * time.Second), none}, {report("b", 30, 1, false), none}, {healthy("b"), ok},
		},
		"a node starts beside an instance that is of another service now": {
			{recalled("z", 10), none}, {healthy("z"), ok}, {foreignReport("z", 20), none}, {wait(20 * time.Second), none}, {report("b", 30, 1, false), none}, {healthy("b"), ok},
		},
		"a node restarts beside a silent instance whose address goes to another service": {
			{recalled("a", 10), none}, {wait(3 * time.Second), none}, {healthy("z"), none}, {wait(3 * time.Second), none}, {foreignReport("z", 20), none},
		},
		"a node restarts before its address goes to another service and back": {
			{recalled("a", 10), none}, {healthy("z"), none}, {foreignReport("z", 20), none}, {healthy("a"), ok}, {healthy("b"), ok}, {observe(forwarder.Reassigned), none}, {report("b", 30, 1, false), ok},
		},
		"a restarted node that recalls nothing waits for a report": {
			{healthy("a"), none}, {wait(time.Second), none}, {report("a", 10, 8, false), ok},
		},
		"an instance whose late report for the service comes after one for another": {
			{healthy("z"), none}, {foreignReport("z", 20), none}, {report("z", 10, 9, false), none}, {wait(3 * time.Second), none},
		},
		"a report of another writer names the upstream in use": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report("a", 10, 1, false), ok}, {foreignReport("a", 10), ok}, {foreignReport("a", 20), ok},
		},
		"an instance of another service has the ID of a lost one": {
			{recalled("a", 10), none},
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{vacate, ok},
			{observe(forwarder.Unreachable), none},
			{foreignReport("a", 20), none},
			{healthy("a"), none},
			{wait(20 * time.Second), none},
			{report("a", 30, 1, false), ok},
		},
		"a report whose ID cannot be sent to other nodes": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {report(unreadableID, 10, 1, true), ok}, {report(unreadableID, 20, 1, false), ok}, {leave(unreadableID, 20), ok}, {report("a", 10, 1, false), ok},
		},
		"a health check whose ID cannot be sent to other nodes": {
			{recalled("a", 10), none}, {healthy(unreadableID), none}, {healthy("a"), ok},
		},
		"failed requests alone keep the upstream in use": {
			{recalled("a", 10), none}, {healthy("a"), ok}, {observe(forwarder.Failed), ok}, {observe(forwarder.Failed), ok},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) { runSteps(t, steps) })
	}
}

// runSteps takes steps with a supervisor of the service orders.
func runSteps(t *testing.T, steps []step) {
	withSupervisor(t, func(g *WithT, s *supervisor.Supervisor, u *upstream) {
		for i, st := range steps {
			st.action(s, u)
			time.Sleep(500 * time.Millisecond)
			_, code := s.UpstreamFor("orders")
			g.Expect(code).To(Equal(st.code), "step %d", i)
		}
	})
}

// withSupervisor runs a test with a running supervisor of the service orders.
func withSupervisor(t *testing.T, test func(g *WithT, s *supervisor.Supervisor, u *upstream)) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		s := supervisor.New(supervisor.Options{
			Service: "orders", Interval: 1500 * time.Millisecond, Prober: u, Memory: witness.New(), Reporter: reporter.Discard{}, OnChange: func() {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go s.Run(ctx)
		test(NewWithT(t), s, u)
	})
}

// lateProber returns ErrNoHealthCheck until configuredAt.
type lateProber struct {
	*upstream
	configuredAt time.Time
	probes       int
}

func (p *lateProber) Probe(ctx context.Context, address string) (supervisor.Health, error) {
	if time.Since(p.configuredAt) < 0 {
		return supervisor.Health{}, supervisor.ErrNoHealthCheck
	}
	p.probes++
	return p.upstream.Probe(ctx, address)
}

// TestProbesSoonAfterConfiguration guards against a slow first health check: the
// upstream must be in use within 60 ms after the health check is configured. After
// a power loss of all nodes, each 100 ms adds to the outage.
func TestProbesSoonAfterConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		prober := &lateProber{&upstream{id: "a"}, time.Now().Add(120 * time.Millisecond), 0}
		s := supervisor.New(supervisor.Options{Service: "orders", Interval: time.Second, Prober: prober, Memory: witness.New(), Reporter: reporter.Discard{}, OnChange: func() {}})
		s.Recall(supervisor.Statement{ID: "a", Born: 10, Service: "orders"})
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go s.Run(ctx)
		time.Sleep(180 * time.Millisecond)
		_, code := s.UpstreamFor("orders")
		g.Expect(code).To(Equal(refuser.None))
		g.Expect(prober.probes).To(Equal(1))
	})
}

// TestLeaveRejectsQueuedRequests guards against requests that reach an upstream
// after it announced that it leaves, because they were already queued for it.
func TestLeaveRejectsQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := supervisor.New(supervisor.Options{
			Service: "orders", Interval: time.Second, Prober: &upstream{id: "a"}, Memory: witness.New(), Reporter: reporter.Discard{}, OnChange: func() {},
		})
		go s.Run(ctx)
		s.Report(supervisor.Report{ID: "a", Born: 1, Sequence: 1, Service: "orders", Slots: 1})
		time.Sleep(time.Second)
		up, code := s.UpstreamFor("orders")
		g.Expect(code).To(Equal(refuser.None))
		_, err := up.Limiter.Acquire(ctx, guard.Request{Objective: 10 * time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		waiting := make(chan error, 1)
		go func() {
			_, err := up.Limiter.Acquire(ctx, guard.Request{Objective: 10 * time.Second})
			waiting <- err
		}()
		time.Sleep(time.Second)
		s.Leave("a", 1)
		g.Expect(refuser.CodeOf(<-waiting)).To(Equal(refuser.Draining))
		cancel()
		synctest.Wait()
	})
}

// newSupervisor returns a running supervisor of an upstream that is healthy.
func newSupervisor(ctx context.Context, memory supervisor.Memory) *supervisor.Supervisor {
	s := supervisor.New(supervisor.Options{
		Service: "orders", Interval: time.Second, Prober: &upstream{id: "a"}, Memory: memory, Reporter: reporter.Discard{}, OnChange: func() {},
	})
	s.Recall(supervisor.Statement{ID: "a", Born: 10, Service: "orders"})
	go s.Run(ctx)
	time.Sleep(time.Second)
	return s
}

// TestRemembered guards against a node that, after a restart, uses an instance that has
// left, or exceeds a rate limit that was stated before the restart.
func TestRemembered(t *testing.T) {
	cases := map[string]struct {
		before, later func(w *witness.Witness)
		code          refuser.Code
		rate          float64
	}{
		"departure known at the start": {func(w *witness.Witness) { w.RecordDeparture("a", 10) }, nil, refuser.EndpointMissing, 0},
		"departure learned later":      {nil, func(w *witness.Witness) { w.RecordDeparture("a", 10) }, refuser.Draining, 0},
		"limit known at the start":     {func(w *witness.Witness) { w.RecordRate("a", 10, 7) }, nil, refuser.None, 7},
		"limit learned later":          {nil, func(w *witness.Witness) { w.RecordRate("a", 10, 7) }, refuser.None, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				memory := witness.New()
				if c.before != nil {
					c.before(memory)
				}
				s := newSupervisor(ctx, memory)
				if c.later != nil {
					c.later(memory)
					s.Refresh()
				}
				_, code := s.UpstreamFor("orders")
				g.Expect(code).To(Equal(c.code))
				for _, e := range s.Endpoints() {
					g.Expect(e.GetRate()).To(Equal(c.rate))
				}
			})
		})
	}
}

// TestRateLimitInForce guards against a limit that ends with a single response without
// it, or that stays in force after the upstream has stopped stating it.
func TestRateLimitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := newSupervisor(ctx, witness.New())
		rate := func() float64 { return s.Endpoints()[0].GetRate() }
		s.ObserveStatus("a", 0, forwarder.UpstreamStatus{RateLimit: 12.5})
		g.Expect(rate()).To(Equal(12.5))
		s.ObserveStatus("a", 0, forwarder.UpstreamStatus{})
		g.Expect(rate()).To(Equal(12.5), "responses may arrive out of order")
		s.ObserveStatus("b", 0, forwarder.UpstreamStatus{RateLimit: 1})
		g.Expect(rate()).To(Equal(12.5), "another instance")
		time.Sleep(time.Second)
		s.ObserveStatus("a", 0, forwarder.UpstreamStatus{RateLimit: 20})
		g.Expect(rate()).To(Equal(20.0))
		time.Sleep(time.Second)
		s.ObserveStatus("a", 0, forwarder.UpstreamStatus{})
		g.Expect(rate()).To(BeZero())
	})
}

// TestUnreadableIDIsNotRemembered guards against remarks that cannot be encoded: the ID of a
// report may hold any bytes, and remarks are sent in beacons.
func TestUnreadableIDIsNotRemembered(t *testing.T) {
	cases := map[string]func(s *supervisor.Supervisor){
		"draining": func(s *supervisor.Supervisor) {
			s.Report(supervisor.Report{ID: unreadableID, Born: 1, Sequence: 1, Service: "orders", Draining: true})
		},
		"leaves": func(s *supervisor.Supervisor) { s.Leave(unreadableID, 1) },
		"states in a response that it leaves": func(s *supervisor.Supervisor) {
			s.ObserveStatus(unreadableID, 1, forwarder.UpstreamStatus{Leaving: true})
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			memory := witness.New()
			act(supervisor.New(supervisor.Options{
				Service: "orders", Interval: time.Second, Prober: &upstream{}, Memory: memory, Reporter: reporter.Discard{}, OnChange: func() {},
			}))
			g.Expect(memory.Remarks()).To(BeEmpty())
		})
	}
}
