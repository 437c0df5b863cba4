package guard_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

func newColdGuard() *guard.Guard {
	return guard.New(guard.InitialLimit(100), guard.FixedLimit(), guard.QueueBelowLevel(), guard.TargetDelay(40*time.Millisecond))
}

// TestIntakeBound guards against more requests at a cold upstream in any second than the
// bound allows, for random arrivals, restarts of the node or the upstream at random moments,
// and limits that are set again; and against leaving much of what the upstream bears unused.
func TestIntakeBound(t *testing.T) {
	cases := map[string]struct{ bears, ratio, margin float64 }{
		"usual":             {12, 1.5, 8},
		"no margin":         {12, 1.5, 0},
		"exact":             {12, 1, 0},
		"many requests":     {300, 1.5, 8},
		"few requests":      {1, 1.5, 8},
		"less than one":     {0.5, 1.5, 8},
		"margin only":       {3, 1, 40},
		"high ratio":        {12, 4, 0},
		"one and no margin": {2, 1.5, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					rng := rand.New(rand.NewPCG(seed, 5))
					const length = 20 * time.Second
					began := time.Now()
					until := began.Add(length)
					set := func(gd *guard.Guard) *guard.Guard {
						gd.SetIntake(guard.NewIntake(c.bears, c.ratio, c.margin, until))
						return gd
					}
					gd := set(newColdGuard())
					r := &rateRun{}
					var group sync.WaitGroup
					for time.Now().Before(until.Add(-time.Second)) {
						// Bursts and pauses, at up to 20 times what the upstream bears.
						for range rng.IntN(1 + int(c.bears*2)) {
							current, request := gd, guard.Request{Class: schema.Class(rng.IntN(4))}
							group.Go(func() { r.send(current, request, 20*time.Millisecond) })
						}
						time.Sleep(time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond)))
						switch rng.IntN(40) {
						case 0:
							gd.Close()
							gd = set(newColdGuard())
						case 1:
							set(gd)
						}
					}
					group.Wait()
					most := r.mostIn(time.Second)
					t.Logf("seed %d: %d admitted in %v, %d in one second of %.1f allowed", seed, len(r.admitted), length, most, c.bears*c.ratio+c.margin)
					g.Expect(float64(most)).To(BeNumerically("<=", max(1, c.bears*c.ratio+c.margin)))
					g.Expect(float64(len(r.admitted))).To(BeNumerically(">=", 0.3*c.bears*length.Seconds()))
					g.Expect(r.slowest).To(BeNumerically("<=", 250*time.Millisecond), "nothing waits longer than is useful")
				})
			}
		})
	}
}

// TestIntakeIsUsed guards against a cold upstream that gets fewer requests than it bears
// while more are asked for.
func TestIntakeIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gd, r := newColdGuard(), &rateRun{}
		gd.SetIntake(guard.NewIntake(12, 1.5, 8, time.Now().Add(10*time.Second)))
		var group sync.WaitGroup
		for range 2000 {
			group.Go(func() { r.send(gd, guard.Request{Class: schema.Class_CLASS_NORMAL}, 20*time.Millisecond) })
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		g.Expect(len(r.admitted)).To(BeNumerically(">=", 12*10))
		g.Expect(gd.IntakeRefusals()).To(BeNumerically("==", r.refused))
	})
}

// TestIntakePriority guards against less urgent requests that use up what a cold upstream
// bears while more urgent ones wait, and against refusing requests that can't meet their
// objective there although nothing else is asked for.
func TestIntakePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gd := newColdGuard()
		gd.SetIntake(guard.NewIntake(12, 1.5, 8, time.Now().Add(time.Minute)))
		low, high := &rateRun{}, &rateRun{}
		var group sync.WaitGroup
		for i := range 1000 {
			group.Go(func() { low.send(gd, guard.Request{Class: schema.Class_CLASS_LOW}, 10*time.Millisecond) })
			if i%20 == 0 {
				group.Go(func() { high.send(gd, guard.Request{Class: schema.Class_CLASS_HIGH}, 10*time.Millisecond) })
			}
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		t.Logf("low: %d admitted, %d refused; high: %d admitted, %d refused", len(low.admitted), low.refused, len(high.admitted), high.refused)
		g.Expect(high.refused).To(BeZero())
		g.Expect(len(low.admitted)).To(BeNumerically(">", 50))
		time.Sleep(time.Second)
		urgent := guard.Request{Objective: 300 * time.Millisecond, Expected: 200 * time.Millisecond}
		permit, err := gd.Acquire(t.Context(), urgent)
		g.Expect(err).NotTo(HaveOccurred())
		permit.Release()
		for err == nil {
			_, err = gd.Acquire(t.Context(), urgent)
		}
		g.Expect(refuser.CodeOf(err)).To(Equal(refuser.UpstreamCold))
	})
}

// TestIntakeEnds guards against a limit in force after the upstream is warm, requests that
// stay queued then, and a stated rate limit that takes the place of the intake or is lost
// with it.
func TestIntakeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gd, r := newColdGuard(), &rateRun{}
		gd.SetIntake(guard.NewIntake(4, 1.5, 2, time.Now().Add(300*time.Millisecond)))
		g.Expect(gd.Describe().GetRate()).To(BeZero(), "the intake is not a stated rate")
		time.Sleep(240 * time.Millisecond)
		var group sync.WaitGroup
		group.Go(func() { r.send(gd, guard.Request{}, time.Minute) })
		group.Go(func() { r.send(gd, guard.Request{}, time.Minute) })
		synctest.Wait()
		g.Expect(gd.Status()).To(HaveField("Queued", 1))
		time.Sleep(61 * time.Millisecond)
		synctest.Wait()
		g.Expect(r.admitted).To(HaveLen(2))
		for range 50 {
			group.Go(func() { r.send(gd, guard.Request{}, time.Minute) })
		}
		synctest.Wait()
		g.Expect(r.admitted).To(HaveLen(52))
		group.Wait()
		gd.SetRateLimit(20)
		gd.SetIntake(guard.NewIntake(100, 1.5, 2, time.Now().Add(time.Second)))
		g.Expect(gd.Describe().GetRate()).To(Equal(20.0))
		gd.SetIntake(guard.Intake{})
		g.Expect(gd.Describe().GetRate()).To(Equal(20.0))
	})
}

// TestQueuedWhenUpstreamTurnsCold guards against requests that keep waiting at an upstream
// that has turned cold although others have room.
func TestQueuedWhenUpstreamTurnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gd := guard.New(guard.InitialLimit(1), guard.FixedLimit(), guard.QueueBelowLevel(), guard.TargetDelay(time.Second))
		permit, err := gd.Acquire(t.Context(), guard.Request{})
		g.Expect(err).NotTo(HaveOccurred())
		codes := make(chan refuser.Code, 10)
		for range 10 {
			go func() {
				_, err := gd.Acquire(context.Background(), guard.Request{})
				codes <- refuser.CodeOf(err)
			}()
		}
		synctest.Wait()
		gd.SetIntake(guard.NewIntake(12, 1.5, 8, time.Now().Add(time.Minute)))
		synctest.Wait()
		g.Expect(codes).To(HaveLen(7))
		g.Expect(<-codes).To(Equal(refuser.UpstreamCold))
		gd.Close()
		permit.Release()
		synctest.Wait()
	})
}
