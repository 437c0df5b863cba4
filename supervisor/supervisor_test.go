package supervisor_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/supervisor"
)

// upstream answers health checks with its identifier, or with an error if that is
// empty.
type upstream struct{ id string }

func (u *upstream) Probe(context.Context, string) (string, error) {
	if u.id == "" {
		return "", errors.New("upstream is not healthy")
	}
	return u.id, nil
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

func healthy(id string) func(*supervisor.Supervisor, *upstream) {
	return func(_ *supervisor.Supervisor, u *upstream) { u.id = id }
}

func leave(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) { s.Leave(id, born) }
}

func observe(o forwarder.Observation) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) { s.Observe("orders", o) }
}

func wait(d time.Duration) func(*supervisor.Supervisor, *upstream) {
	return func(*supervisor.Supervisor, *upstream) { time.Sleep(d) }
}

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
			{healthy("a"), ok}, {report("a", 10, 8, false), ok},
		},
		"a late report after the node restarted while the upstream was leaving": {
			{report("a", 10, 9, true), draining}, {report("a", 10, 8, false), draining}, {report("a", 10, 10, false), draining},
		},
		"an instance that left is not used again": {
			{healthy("a"), ok}, {report("a", 10, 1, false), ok}, {leave("a", 10), draining}, {report("a", 10, 2, false), draining}, {healthy("a"), draining},
		},
		"an instance that left without its start time": {
			{healthy("a"), ok}, {report("a", 10, 1, false), ok}, {leave("a", 0), draining}, {report("a", 10, 2, false), draining},
		},
		"a new instance takes over": {
			{healthy("a"), ok}, {report("a", 10, 5, false), ok}, {report("a", 10, 6, true), draining}, {report("b", 20, 1, false), ok},
		},
		"a restart under the same identifier": {
			{healthy("a"), ok}, {report("a", 10, 5, false), ok}, {leave("a", 10), draining}, {report("a", 20, 1, false), ok},
		},
		"a late report of an earlier instance": {
			{healthy("b"), ok}, {report("b", 20, 1, false), ok}, {report("a", 10, 9, true), ok}, {report("a", 10, 10, false), ok},
		},
		"an unreachable upstream": {
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{healthy(""), ok},
			{observe(forwarder.Unreachable), none},
			{report("a", 10, 2, false), none},
			{healthy("a"), ok},
		},
		"another upstream has the address": {
			{healthy("a"), ok}, {report("a", 10, 1, false), ok}, {healthy(""), ok}, {observe(forwarder.Reassigned), none},
		},
		"an upstream without reports": {
			{healthy("a"), ok}, {report("a", 10, 1, false), ok}, {healthy(""), ok}, {wait(20 * time.Second), none},
		},
		"an upstream with late reports": {
			{healthy("a"), ok}, {report("a", 10, 1, false), ok}, {wait(4 * time.Second), ok},
		},
		"failed requests alone keep the upstream in use": {
			{healthy("a"), ok}, {observe(forwarder.Failed), ok}, {observe(forwarder.Failed), ok},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				u := &upstream{}
				s := supervisor.New(supervisor.Options{
					Service: "orders", Interval: 1500 * time.Millisecond, Prober: u, Reporter: reporter.Discard{}, OnChange: func() {},
				})
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				go s.Run(ctx)
				for i, st := range steps {
					st.action(s, u)
					time.Sleep(500 * time.Millisecond)
					_, code := s.UpstreamFor("orders")
					g.Expect(code).To(Equal(st.code), "step %d", i)
				}
			})
		})
	}
}

// lateProber returns ErrNoHealthCheck until configuredAt.
type lateProber struct {
	upstream
	configuredAt time.Time
	probes       int
}

func (p *lateProber) Probe(ctx context.Context, address string) (string, error) {
	if time.Since(p.configuredAt) < 0 {
		return "", supervisor.ErrNoHealthCheck
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
		prober := &lateProber{upstream{"a"}, time.Now().Add(120 * time.Millisecond), 0}
		s := supervisor.New(supervisor.Options{Service: "orders", Interval: time.Second, Prober: prober, Reporter: reporter.Discard{}, OnChange: func() {}})
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
			Service: "orders", Interval: time.Second, Prober: &upstream{"a"}, Reporter: reporter.Discard{}, OnChange: func() {},
		})
		go s.Run(ctx)
		time.Sleep(time.Second)
		s.Report(supervisor.Report{ID: "a", Born: 1, Sequence: 1, Service: "orders", Slots: 1})
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
