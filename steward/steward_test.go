package steward_test

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
	"quetzalhub/steward"
)

// upstream answers health checks with its identifier, or not at all.
type upstream struct{ id string }

func (u *upstream) Probe(context.Context, string) (string, error) {
	if u.id == "" {
		return "", errors.New("not well")
	}
	return u.id, nil
}

// step is one thing that happens; code is what the steward says afterwards.
type step struct {
	does func(s *steward.Steward, u *upstream)
	code refuser.Code
}

func report(id string, born int64, number uint64, draining bool) func(*steward.Steward, *upstream) {
	return func(s *steward.Steward, _ *upstream) {
		s.Report(steward.Report{ID: id, Born: born, Number: number, Service: "orders", Slots: 20, Draining: draining})
	}
}

func well(id string) func(*steward.Steward, *upstream) {
	return func(_ *steward.Steward, u *upstream) { u.id = id }
}

func leaves(id string, born int64) func(*steward.Steward, *upstream) {
	return func(s *steward.Steward, _ *upstream) { s.Leave(id, born) }
}

func observe(o forwarder.Observation) func(*steward.Steward, *upstream) {
	return func(s *steward.Steward, _ *upstream) { s.Observe("orders", o) }
}

func waits(d time.Duration) func(*steward.Steward, *upstream) {
	return func(*steward.Steward, *upstream) { time.Sleep(d) }
}

// TestWhichStartLives plays reports that arrive late, twice, from earlier
// starts and to a node that has just started itself.
func TestWhichStartLives(t *testing.T) {
	const none, gone, ok = refuser.EndpointMissing, refuser.Draining, refuser.None
	cases := map[string][]step{
		"a node that starts trusts no report": {
			{report("a", 10, 7, false), none}, {well("a"), ok},
		},
		"a node that starts finds the upstream by itself": {
			{well("a"), ok}, {report("a", 10, 8, false), ok},
		},
		"a late report after the node restarted beside one that leaves": {
			{report("a", 10, 9, true), gone}, {report("a", 10, 8, false), gone}, {report("a", 10, 10, false), gone},
		},
		"one that left does not come back": {
			{well("a"), ok}, {report("a", 10, 1, false), ok}, {leaves("a", 10), gone}, {report("a", 10, 2, false), gone}, {well("a"), gone},
		},
		"one that left without saying when it was born": {
			{well("a"), ok}, {report("a", 10, 1, false), ok}, {leaves("a", 0), gone}, {report("a", 10, 2, false), gone},
		},
		"a new start takes over": {
			{well("a"), ok}, {report("a", 10, 5, false), ok}, {report("a", 10, 6, true), gone}, {report("b", 20, 1, false), ok},
		},
		"the same name starts again": {
			{well("a"), ok}, {report("a", 10, 5, false), ok}, {leaves("a", 10), gone}, {report("a", 20, 1, false), ok},
		},
		"a report of an earlier start arrives late": {
			{well("b"), ok}, {report("b", 20, 1, false), ok}, {report("a", 10, 9, true), ok}, {report("a", 10, 10, false), ok},
		},
		"one that can't be reached": {
			{well("a"), ok},
			{report("a", 10, 1, false), ok},
			{well(""), ok},
			{observe(forwarder.Unreachable), none},
			{report("a", 10, 2, false), none},
			{well("a"), ok},
		},
		"another has its address": {
			{well("a"), ok}, {report("a", 10, 1, false), ok}, {well(""), ok}, {observe(forwarder.Reassigned), none},
		},
		"one that falls silent": {
			{well("a"), ok}, {report("a", 10, 1, false), ok}, {well(""), ok}, {waits(20 * time.Second), none},
		},
		"one that reports late": {
			{well("a"), ok}, {report("a", 10, 1, false), ok}, {waits(4 * time.Second), ok},
		},
		"failures alone don't end it": {
			{well("a"), ok}, {observe(forwarder.Failed), ok}, {observe(forwarder.Failed), ok},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				u := &upstream{}
				s := steward.New(steward.Options{
					Service: "orders", Interval: 1500 * time.Millisecond, Prober: u, Reporter: reporter.Silent{}, Changed: func() {},
				})
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				go s.Run(ctx)
				for i, st := range steps {
					st.does(s, u)
					time.Sleep(500 * time.Millisecond)
					_, code := s.UpstreamFor("orders")
					g.Expect(code).To(Equal(st.code), "step %d", i)
				}
			})
		})
	}
}

// late learns how to check an upstream some time after the start.
type late struct {
	upstream
	from   time.Time
	probes int
}

func (l *late) Probe(ctx context.Context, address string) (string, error) {
	if time.Since(l.from) < 0 {
		return "", steward.ErrUnknownCheck
	}
	l.probes++
	return l.upstream.Probe(ctx, address)
}

// TestStartIsShort uses the upstream within a moment after the configuration
// says how to check it: after all nodes lost power at once, every tenth of a
// second counts.
func TestStartIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := &late{upstream{"a"}, time.Now().Add(120 * time.Millisecond), 0}
		s := steward.New(steward.Options{Service: "orders", Interval: time.Second, Prober: l, Reporter: reporter.Silent{}, Changed: func() {}})
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go s.Run(ctx)
		time.Sleep(180 * time.Millisecond)
		_, code := s.UpstreamFor("orders")
		g.Expect(code).To(Equal(refuser.None))
		g.Expect(l.probes).To(Equal(1))
	})
}

// TestDrainTurnsAwayWhatWaits lets nothing reach an upstream once it said that
// it leaves, not even what was waiting for it.
func TestDrainTurnsAwayWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := steward.New(steward.Options{
			Service: "orders", Interval: time.Second, Prober: &upstream{"a"}, Reporter: reporter.Silent{}, Changed: func() {},
		})
		go s.Run(ctx)
		time.Sleep(time.Second)
		s.Report(steward.Report{ID: "a", Born: 1, Number: 1, Service: "orders", Slots: 1})
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
		g.Expect(refuser.Of(<-waiting)).To(Equal(refuser.Draining))
		cancel()
		synctest.Wait()
	})
}
