package guard_test

import (
	"context"
	"fmt"
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

// backend is an upstream with slots and a queue of its own.
type backend struct {
	slots chan struct{}
	mu    sync.Mutex
	time  time.Duration
}

func newBackend(slots int, d time.Duration) *backend {
	return &backend{slots: make(chan struct{}, slots), time: d}
}

func (b *backend) setTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.time = d
}

func (b *backend) serve() {
	b.slots <- struct{}{}
	b.mu.Lock()
	d := b.time
	b.mu.Unlock()
	time.Sleep(d)
	<-b.slots
}

// tally counts the outcome of requests by class.
type tally struct {
	mu       sync.Mutex
	sent     map[schema.Class]int
	answered map[schema.Class]int
	by       map[string]int
	slowest  time.Duration
}

// drive sends requests through a guard at a rate for a duration.
func drive(g *guard.Guard, b *backend, rate float64, d time.Duration, seed uint64) *tally {
	t := &tally{sent: map[schema.Class]int{}, answered: map[schema.Class]int{}, by: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 9))
	var group sync.WaitGroup
	started := time.Now()
	for time.Since(started) < d {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		r := guard.Request{
			Class: schema.Class(1 + rng.IntN(4)), Rank: rng.Uint32N(guard.RanksPerClass), Workspace: "small",
		}
		if rng.IntN(5) > 0 {
			r.Workspace = "loud"
		}
		group.Go(func() { t.request(g, b, r) })
	}
	group.Wait()
	return t
}

func (t *tally) request(g *guard.Guard, b *backend, r guard.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	started := time.Now()
	pass, err := g.Acquire(ctx, r)
	if err == nil {
		b.serve()
		pass.Release()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[r.Class]++
	if err == nil {
		t.answered[r.Class]++
		t.by[r.Workspace]++
		t.slowest = max(t.slowest, time.Since(started))
	}
}

func (t *tally) total() int {
	sum := 0
	for _, n := range t.answered {
		sum += n
	}
	return sum
}

// TestLimits compares ways to limit concurrency: the share of the upstream's
// capacity used under three times its load, when healthy, slowed ten times and
// healed.
func TestLimits(t *testing.T) {
	backends := map[string]struct {
		slots int
		time  time.Duration
	}{
		"small and fast": {3, 10 * time.Millisecond},
		"medium":         {30, 20 * time.Millisecond},
		"large and slow": {130, 100 * time.Millisecond},
	}
	ways := map[string][]guard.Option{
		"gradient": nil,
		"additive": {guard.AIMD()},
	}
	for name, c := range backends {
		for way, options := range ways {
			t.Run(name+" "+way, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					b := newBackend(c.slots, c.time)
					gd := guard.New(options...)
					capacity := float64(c.slots) / c.time.Seconds()
					share := func(factor float64, d time.Duration) (float64, time.Duration) {
						tl := drive(gd, b, 3*capacity*factor, d, 1)
						return float64(tl.total()) / (capacity * factor * d.Seconds()), tl.slowest
					}
					drive(gd, b, 3*capacity, 5*time.Second, 2)
					healthy, slowest := share(1, 10*time.Second)
					b.setTime(10 * c.time)
					slowed, slowestSlowed := share(0.1, 10*time.Second)
					b.setTime(c.time)
					healed, _ := share(1, 10*time.Second)
					t.Logf(name+" "+way+": healthy %.2f (slowest %v), slowed %.2f (slowest %v), healed %.2f; %+v",
						healthy, slowest, slowed, slowestSlowed, healed, gd.Status())
					if way == "gradient" {
						g.Expect(healthy).To(BeNumerically(">", 0.9))
						g.Expect(slowed).To(BeNumerically(">", 0.8))
						g.Expect(healed).To(BeNumerically(">", 0.9))
					}
				})
			})
		}
	}
}

// TestImportantLast overloads an upstream and compares classes.
func TestImportantLast(t *testing.T) {
	for _, factor := range []float64{2, 4, 10} {
		t.Run(fmt.Sprintf("%.0f times", factor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := newBackend(20, 10*time.Millisecond)
				gd := guard.New()
				drive(gd, b, 1000, 5*time.Second, 2)
				tl := drive(gd, b, 2000*factor, 20*time.Second, 1)
				var shares []float64
				for class := schema.Class_CLASS_LOW; class <= schema.Class_CLASS_CRITICAL; class++ {
					shares = append(shares, float64(tl.answered[class])/float64(tl.sent[class]))
				}
				t.Logf("answered by class, low to critical: %.3f; slowest %v", shares, tl.slowest)
				for i := 1; i < len(shares); i++ {
					g.Expect(shares[i]).To(BeNumerically(">=", shares[i-1]-0.01))
				}
				if factor <= 4 {
					g.Expect(shares[3]).To(BeNumerically(">", 0.9))
				}
			})
		})
	}
}

// TestLateRequestIsRefused does not run a request whose time is over, though a
// slot is free.
func TestLateRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := guard.New().Acquire(ended, guard.Request{Class: schema.Class_CLASS_NORMAL})
	g.Expect(refuser.Of(err)).To(Equal(refuser.DeadlineBeforeRun))
}

// TestWorkspacesShareTheQueue sends most requests from one workspace.
func TestWorkspacesShareTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBackend(10, 10*time.Millisecond)
		gd := guard.New()
		tl := drive(gd, b, 1500, 20*time.Second, 1)
		sent := 0
		for _, n := range tl.sent {
			sent += n
		}
		small := float64(tl.by["small"]) / (0.2 * float64(sent))
		loud := float64(tl.by["loud"]) / (0.8 * float64(sent))
		t.Logf("answered: small %.2f, loud %.2f", small, loud)
		g.Expect(small).To(BeNumerically(">=", loud))
	})
}
