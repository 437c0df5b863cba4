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
	"quetzalhub/schema"
	"quetzalhub/supervisor"
	"quetzalhub/witness"
)

// warmups is the warm-up of all services.
type warmups supervisor.Warmup

func (w warmups) Warmup(string) supervisor.Warmup { return supervisor.Warmup(w) }

const (
	interval = 1500 * time.Millisecond
	warmTime = 6 * time.Second
)

// coldProber answers health checks with the time for which an upstream is cold.
type coldProber struct {
	mu        sync.Mutex
	id        string
	coldUntil time.Time
	down      bool
	// took is the time that a health check takes.
	took   time.Duration
	checks int
}

func (p *coldProber) Probe(context.Context, string) (supervisor.Health, error) {
	p.mu.Lock()
	p.checks++
	h, down, took := supervisor.Health{ID: p.id, Cold: max(time.Until(p.coldUntil), 0)}, p.down, p.took
	p.mu.Unlock()
	time.Sleep(took)
	if down {
		return supervisor.Health{}, errors.New("upstream is not healthy")
	}
	return h, nil
}

func (p *coldProber) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checks
}

func (p *coldProber) set(f func(p *coldProber)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

// coldCase is a supervisor of an upstream that may be cold.
type coldCase struct {
	*supervisor.Supervisor
	prober   *coldProber
	sequence uint64
	// id and born are those in the last report.
	id   string
	born int64
	// freeze ends Run, as if the process was suspended.
	freeze func()
}

func (c *coldCase) report(id string, born int64, cold time.Duration) {
	c.sequence++
	c.id, c.born = id, born
	c.Report(supervisor.Report{ID: id, Born: born, Sequence: c.sequence, Service: "orders", Slots: 20, Cold: cold})
}

func (c *coldCase) reportUnknown(id string, born int64) {
	c.sequence++
	c.id, c.born = id, born
	c.Report(supervisor.Report{ID: id, Born: born, Sequence: c.sequence, Service: "orders", Slots: 20, ColdUnknown: true})
}

// wait waits while the upstream sends reports that say nothing about its warmth.
func (c *coldCase) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(min(time.Second, time.Until(end))) {
		c.reportUnknown(c.id, c.born)
	}
}

// turnCold makes the upstream cold without a sign.
func (c *coldCase) turnCold(d time.Duration) {
	c.prober.set(func(p *coldProber) { p.coldUntil = time.Now().Add(d) })
}

func (c *coldCase) endpoint() *schema.Endpoint {
	list := c.Endpoints()
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// runCold runs a test with a supervisor whose upstream a was confirmed as warm.
func runCold(t *testing.T, w supervisor.Warmup, test func(g *WithT, c *coldCase)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		c := &coldCase{prober: &coldProber{id: "a"}, id: "a", born: 10}
		c.Supervisor = supervisor.New(supervisor.Options{
			Service: "orders", Interval: interval, Prober: c.prober, Memory: witness.New(), Reporter: reporter.Discard{}, OnChange: func() {},
			Warmups: warmups(w), Bound: supervisor.Bound{Ratio: 1.5, Margin: 8},
		})
		c.freeze = cancel
		c.Recall(supervisor.Statement{ID: "a", Born: 10, Service: "orders"})
		go c.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		test(g, c)
	})
}

// burst sends requests at once and returns how many are admitted.
func (c *coldCase) burst(n int) int {
	up, code := c.UpstreamFor("orders")
	if code != refuser.None {
		return 0
	}
	admitted := 0
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), time.Microsecond)
		permit, err := up.Limiter.Acquire(ctx, guard.Request{})
		cancel()
		if err == nil {
			admitted++
			permit.Release()
		}
	}
	return admitted
}

// TestColdUpstream guards against a cold upstream that gets as many requests as a warm one,
// from the first sign on, and against one that is held for cold after it has said that it
// is warm.
func TestColdUpstream(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		act func(c *coldCase)
		// cold is the remaining time for which the upstream must count as cold.
		cold time.Duration
		// checks is the largest number of health checks in addition to the first one.
		checks int
	}{
		"warm":                       {func(c *coldCase) { c.report("a", 10, 0) }, 0, 0},
		"reported cold":              {func(c *coldCase) { time.Sleep(2 * second); c.report("a", 10, 4*second) }, 4 * second, 0},
		"reported warm again":        {func(c *coldCase) { c.report("a", 10, 4*second); time.Sleep(2 * second); c.report("a", 10, 0) }, 0, 0},
		"a new instance":             {func(c *coldCase) { c.report("a", 10, 0); c.report("b", 20, 6*second) }, 6 * second, 0},
		"a new start":                {func(c *coldCase) { c.report("a", 10, 0); c.sequence = 0; c.report("a", 20, 6*second) }, 6 * second, 0},
		"a new instance that is new": {func(c *coldCase) { c.report("a", 10, 0); c.reportUnknown("b", 20) }, warmTime, 0},
		"a new instance that says that it is warm":   {func(c *coldCase) { c.report("a", 10, 0); c.report("b", 20, 0) }, 0, 0},
		"an old one that says nothing":               {func(c *coldCase) { c.report("a", 10, 0); c.reportUnknown("a", 10) }, 0, 0},
		"checked, and its first report says nothing": {func(c *coldCase) { c.reportUnknown("a", 10) }, 0, 0},
		"a lost connection to a warm upstream":       {func(c *coldCase) { c.Observe("orders", forwarder.Lost); time.Sleep(second) }, 0, 1},
		"many lost connections":                      {func(c *coldCase) { c.loseConnections(50, time.Millisecond) }, 0, 2},
		"a lost connection to a cold upstream": {
			func(c *coldCase) { c.turnCold(5 * second); c.Observe("orders", forwarder.Lost); time.Sleep(second) }, 4 * second, 1,
		},
		"a lost connection, and the health check fails": {func(c *coldCase) {
			c.prober.set(func(p *coldProber) { p.down = true })
			c.Observe("orders", forwarder.Lost)
			time.Sleep(second)
		}, 5 * second, 1},
		"a late report from before a lost connection": {func(c *coldCase) {
			c.prober.set(func(p *coldProber) { p.down = true })
			c.Observe("orders", forwarder.Lost)
			time.Sleep(second)
			c.report("a", 10, 0)
		}, 5 * second, 1},
		"a late report from before a health check": {func(c *coldCase) {
			c.turnCold(5 * second)
			c.Recheck()
			time.Sleep(second)
			c.report("a", 10, 0)
		}, 4 * second, 1},
		"a report after a lost connection": {func(c *coldCase) {
			c.prober.set(func(p *coldProber) { p.down = true })
			c.Observe("orders", forwarder.Lost)
			time.Sleep(2 * second)
			c.report("a", 10, 0)
		}, 0, 1},
		"unreachable and back": {func(c *coldCase) {
			c.turnCold(5 * second)
			c.Observe("orders", forwarder.Unreachable)
			time.Sleep(second)
		}, 4 * second, 1},
		"unreachable and back warm": {func(c *coldCase) { c.Observe("orders", forwarder.Unreachable); time.Sleep(second) }, 0, 1},
		"another instance had its address": {func(c *coldCase) {
			c.turnCold(5 * second)
			c.Observe("orders", forwarder.Reassigned)
			time.Sleep(second)
		}, 4 * second, 1},
		"quiet, then cold": {func(c *coldCase) {
			c.report("a", 10, 0)
			time.Sleep(2900 * time.Millisecond)
			c.turnCold(5 * second)
			time.Sleep(500 * time.Millisecond)
		}, 4500 * time.Millisecond, 1},
		"quiet for long":    {func(c *coldCase) { c.report("a", 10, 0); time.Sleep(7 * second) }, 0, 1},
		"checked again":     {func(c *coldCase) { c.turnCold(5 * second); c.Recheck(); time.Sleep(second) }, 4 * second, 1},
		"checked and warm":  {func(c *coldCase) { c.Recheck(); time.Sleep(second) }, 0, 1},
		"warm after a time": {func(c *coldCase) { c.report("a", 10, 4*second); time.Sleep(4 * second) }, 0, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runCold(t, supervisor.Warmup{Time: warmTime, Intake: 12}, func(g *WithT, c *coldCase) {
				before := c.prober.count()
				time.Sleep(2 * time.Second)
				tc.act(c)
				w := c.Warmth()
				g.Expect(w.Cold).To(BeNumerically("~", tc.cold, 10*time.Millisecond))
				g.Expect(c.prober.count() - before).To(BeNumerically("<=", tc.checks))
				e := c.endpoint()
				if tc.cold == 0 {
					g.Expect(c.burst(15)).To(Equal(15))
					g.Expect(e.GetIntake()).To(BeZero())
					return
				}
				g.Expect(c.burst(15)).To(BeNumerically("<=", 3))
				g.Expect(e.GetIntake()).To(Equal(12.0))
				g.Expect(e.GetCold().AsDuration()).To(BeNumerically("~", tc.cold, 10*time.Millisecond))
				c.wait(tc.cold)
				g.Expect(c.burst(15)).To(Equal(15), "warm again by itself")
			})
		})
	}
}

func (c *coldCase) loseConnections(n int, pause time.Duration) {
	for range n {
		c.Observe("orders", forwarder.Lost)
		time.Sleep(pause)
	}
	time.Sleep(500 * time.Millisecond)
}

// TestColdAtOnce guards against requests between a sign that an upstream may be cold and the
// health check that tells.
func TestColdAtOnce(t *testing.T) {
	signs := map[string]func(c *coldCase){
		"lost connection": func(c *coldCase) { c.Observe("orders", forwarder.Lost) },
		"unreachable":     func(c *coldCase) { c.Observe("orders", forwarder.Unreachable) },
		"reassigned":      func(c *coldCase) { c.Observe("orders", forwarder.Reassigned) },
		"checked again":   func(c *coldCase) { c.Recheck() },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			runCold(t, supervisor.Warmup{Time: warmTime, Intake: 12}, func(g *WithT, c *coldCase) {
				g.Expect(c.burst(15)).To(Equal(15))
				sign(c)
				g.Expect(c.burst(15)).To(BeZero())
			})
		})
	}
}

// TestCheckBeganBeforeSign guards against a health check that began before an upstream went
// away and tells that it is warm after it has come back cold.
func TestCheckBeganBeforeSign(t *testing.T) {
	runCold(t, supervisor.Warmup{Time: warmTime, Intake: 12}, func(g *WithT, c *coldCase) {
		c.prober.set(func(p *coldProber) { p.took = 100 * time.Millisecond })
		c.Recheck()
		time.Sleep(50 * time.Millisecond)
		c.Observe("orders", forwarder.Lost)
		time.Sleep(100 * time.Millisecond)
		g.Expect(c.Warmth().Cold).To(BeNumerically(">", 5*time.Second))
		time.Sleep(time.Second)
		g.Expect(c.Warmth().Cold).To(BeZero(), "a second check tells")
	})
}

// TestNoIntake guards against any change where the configuration states no intake: no health
// checks and no limit, and the cold time in reports is passed on.
func TestNoIntake(t *testing.T) {
	runCold(t, supervisor.Warmup{Time: warmTime}, func(g *WithT, c *coldCase) {
		before := c.prober.count()
		c.turnCold(5 * time.Second)
		c.report("a", 10, 4*time.Second)
		c.Observe("orders", forwarder.Lost)
		c.Recheck()
		time.Sleep(time.Second)
		c.report("a", 10, 3*time.Second)
		g.Expect(c.endpoint().GetCold().AsDuration()).To(Equal(3 * time.Second))
		g.Expect(c.endpoint().GetIntake()).To(BeZero())
		g.Expect(c.burst(15)).To(Equal(15))
		time.Sleep(5 * time.Second)
		g.Expect(c.prober.count()).To(Equal(before))
	})
}

// TestLostAnswers guards against an upstream that loses single answers and is held for one
// that has started anew, so that it gets no more than a cold one bears, and against one that
// has started anew under load and is held for one that loses answers.
func TestLostAnswers(t *testing.T) {
	cases := map[string]struct {
		active int
		// act observes what becomes of the active requests, which were sent at the given time.
		act  func(c *coldCase, sent time.Time)
		cold bool
	}{
		"one of many is lost": {10, func(c *coldCase, _ time.Time) { c.Observe("orders", forwarder.Lost) }, false},
		"many are lost by turns": {10, func(c *coldCase, sent time.Time) {
			for range 40 {
				c.Observe("orders", forwarder.Lost)
				c.ObserveStatus("a", 10, forwarder.UpstreamStatus{Sent: sent})
			}
		}, false},
		"all are lost": {10, func(c *coldCase, _ time.Time) {
			for range 10 {
				c.Observe("orders", forwarder.Lost)
			}
		}, true},
		"all are lost, one answer was on its way": {10, func(c *coldCase, sent time.Time) {
			c.Observe("orders", forwarder.Lost)
			c.ObserveStatus("a", 10, forwarder.UpstreamStatus{Sent: sent})
			for range 10 {
				c.Observe("orders", forwarder.Lost)
			}
		}, true},
		"answers to later requests prove nothing": {2, func(c *coldCase, _ time.Time) {
			c.Observe("orders", forwarder.Lost)
			c.ObserveStatus("a", 10, forwarder.UpstreamStatus{Sent: time.Now().Add(time.Millisecond)})
			c.Observe("orders", forwarder.Lost)
		}, true},
		"the only one is lost": {1, func(c *coldCase, _ time.Time) { c.Observe("orders", forwarder.Lost) }, true},
		"idle connections are closed": {10, func(c *coldCase, sent time.Time) {
			c.Observe("orders", forwarder.Succeeded)
			c.IdleLost()
		}, false},
		"idle connections are closed and nothing else is active": {1, func(c *coldCase, _ time.Time) { c.IdleLost() }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runCold(t, supervisor.Warmup{Time: 6 * time.Second, Intake: 12}, func(g *WithT, upstream *coldCase) {
				upstream.report("a", 10, 0)
				time.Sleep(time.Second)
				up, _ := upstream.UpstreamFor("orders")
				for range c.active {
					_, err := up.Limiter.Acquire(context.Background(), guard.Request{})
					g.Expect(err).NotTo(HaveOccurred())
				}
				sent := time.Now()
				time.Sleep(10 * time.Millisecond)
				c.act(upstream, sent)
				g.Expect(upstream.endpoint().GetIntake() > 0).To(Equal(c.cold))
			})
		})
	}
}

// TestSuspendedNode guards against a node that was suspended while its upstream started anew,
// and takes a report from before that for a new one, or finds many requests at once.
func TestSuspendedNode(t *testing.T) {
	cases := map[string]struct {
		suspended time.Duration
		report    bool
		admitted  int
	}{
		"long":                       {2 * time.Second, false, 0},
		"long, with a report":        {2 * time.Second, true, 0},
		"longer than it may be idle": {9 * time.Second, true, 0},
		"briefly":                    {300 * time.Millisecond, true, 15},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runCold(t, supervisor.Warmup{Time: warmTime, Intake: 12}, func(g *WithT, c *coldCase) {
				c.report("a", 10, 0)
				time.Sleep(time.Second)
				g.Expect(c.burst(15)).To(Equal(15))
				c.freeze()
				time.Sleep(tc.suspended)
				if tc.report {
					c.report("a", 10, 0)
				}
				g.Expect(c.burst(15)).To(Equal(tc.admitted))
			})
		})
	}
}
