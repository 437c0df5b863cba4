package lender_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/gossiper"
	"quetzalhub/limiter"
	"quetzalhub/naive"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("node-%d", i)
	}
	return list
}

// patterns are the ways in which traffic meets the hosts.
func patterns(hosts []string) map[string]func(time.Duration) string {
	return map[string]func(time.Duration) string{
		"one host": func(time.Duration) string { return hosts[3] },
		"all hosts": func(at time.Duration) string {
			return hosts[int(at/time.Millisecond)*7%len(hosts)]
		},
		"moving": func(at time.Duration) string { return hosts[int(at/(2*time.Second))%len(hosts)] },
	}
}

// TestInRateRefusals compares refusals that a central bucket would not have
// made with those of equal static shares, for traffic at one host, at all, and
// moving, at half and nine tenths of the rate.
func TestInRateRefusals(t *testing.T) {
	const rate, burst = 200.0, 100.0
	hosts := names(12)
	for name, pick := range patterns(hosts) {
		for _, share := range []float64{0.5, 0.9} {
			t.Run(fmt.Sprintf("%s at %.0f%%", name, share*100), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(t, 1, rate, burst, false, hosts...)
					time.Sleep(2 * time.Second)
					ours := f.load(rate, burst, rate*share, time.Minute, pick, f.request)
					excess := f.worstExcess(rate, burst)
					static := f.load(rate, burst, rate*share, time.Minute, pick, staticShares(hosts, rate, burst))
					t.Logf("sent %d, refused in rate: %.2f%%, static shares %.2f%%, calls to the holder %d",
						ours.sent, 100*ours.inRateRefused(), 100*static.inRateRefused(), f.calls)
					g.Expect(excess).To(BeNumerically("<=", 1e-6), "admissions beyond rate x window + burst")
					g.Expect(ours.inRateRefused()).To(BeNumerically("<=", static.inRateRefused()+0.02))
				})
			})
		}
	}
}

// staticShares admits by equal static shares.
func staticShares(hosts []string, rate, burst float64) func(string) bool {
	admitters := map[string]*naive.Admitter{}
	for _, h := range hosts {
		admitters[h] = naive.NewAdmitter(staticState(rate, burst), staticFleet(hosts))
	}
	return func(host string) bool { return admitters[host].Admit(context.Background(), workspace, 0) == nil }
}

// fixedState is a state that never changes.
type fixedState struct{ snapshot *resolver.Snapshot }

func (s fixedState) Snapshot() *resolver.Snapshot { return s.snapshot }
func (fixedState) Fresh() bool                    { return true }

func staticState(rate, burst float64) fixedState {
	config := &schema.Config{Workspaces: []*schema.Workspace{{Name: workspace, Rate: rate, Burst: burst}}}
	raw, _ := proto.Marshal(&schema.State{Version: 1, Config: config})
	snapshot, _ := resolver.Compile(raw)
	return fixedState{snapshot}
}

// fixedFleet is a fleet that never changes.
type fixedFleet struct{ view *gossiper.View }

func (f fixedFleet) View() *gossiper.View { return f.view }

func staticFleet(hosts []string) fixedFleet {
	members := map[string]*schema.Member{}
	for _, h := range hosts {
		members[h] = &schema.Member{Name: h, Domain: "a", Status: schema.Status_STATUS_ALIVE}
	}
	return fixedFleet{gossiper.NewView(members)}
}

// TestWorstServedWorkspace sends several times its rate from one workspace and
// looks at the others.
func TestWorstServedWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 100.0, 50.0
		hosts := names(6)
		f := newFleet(t, 3, rate, burst, false, hosts...)
		f.write(func(s *schema.State) {
			s.Config.Workspaces = append(s.Config.Workspaces, &schema.Workspace{Name: "loud", Rate: rate, Burst: burst})
		})
		time.Sleep(2 * time.Second)
		stop := make(chan struct{})
		go f.flood("loud", 4*rate, hosts, stop)
		quiet := f.load(rate, burst, rate/2, 20*time.Second, patterns(hosts)["all hosts"], f.request)
		close(stop)
		t.Logf("quiet workspace: sent %d, refused in rate %.2f%%", quiet.sent, 100*quiet.inRateRefused())
		g.Expect(quiet.inRateRefused()).To(BeNumerically("<=", 0.01))
	})
}

// TestSharesUnderFaults kills, freezes, cuts and restarts hosts at random and
// checks that no window has more admissions than rate x window + burst.
func TestSharesUnderFaults(t *testing.T) {
	const rate, burst = 100.0, 40.0
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hosts := names(5)
				f := newFleet(t, seed, rate, burst, true, hosts...)
				time.Sleep(5 * time.Second)
				go f.misfortunes(hosts, 3*time.Minute)
				f.surges(hosts, 3*time.Minute)
				admitted := f.count()
				t.Logf("admitted %d, worst excess %.2f", admitted, f.worstExcess(rate, burst))
				g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
				g.Expect(float64(admitted)).To(BeNumerically(">", rate*180/4), "the fleet must go on admitting")
			})
		})
	}
}

// TestStaticSharesOvershoot shows that equal static shares break the same
// bound when hosts are restarted.
func TestStaticSharesOvershoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 100.0, 40.0
		hosts := names(5)
		admitted := 0
		started := time.Now()
		for range 10 {
			admit := staticShares(hosts, rate, burst)
			for range 40 {
				if admit(hosts[0]) {
					admitted++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		bound := rate*time.Since(started).Seconds() + burst
		t.Logf("admitted %d, bound %.0f", admitted, bound)
		g.Expect(float64(admitted)).To(BeNumerically(">", bound))
	})
}

// TestClosedBooksStayClosed lets a state come in between the closing of the
// books and the next term.
func TestClosedBooksStayClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 100.0, 40.0
		hosts := names(3)
		f := newFleet(t, 4, rate, burst, false, hosts...)
		time.Sleep(time.Second)
		f.load(rate, burst, 3*rate, 5*time.Second, patterns(hosts)["all hosts"], f.request)
		holder := f.host(hosts[0])
		index := limiter.ShardOf(workspace)
		books, ok := holder.lender.CloseShard(index)
		g.Expect(ok).To(BeTrue())
		f.write(func(s *schema.State) { s.Config.Version++ })
		f.load(rate, burst, 3*rate, 2*freshness, patterns(hosts)["all hosts"], f.request)
		g.Expect(holder.lender.IsShardClosed(index)).To(BeTrue())
		f.host(hosts[1]).lender.Adopt(books)
		f.write(func(s *schema.State) {
			s.Shards[index] = &schema.Shard{Index: index, Holder: hosts[1], Incarnation: 1, Term: 2, Carried: true}
		})
		f.load(rate, burst, 3*rate, 5*time.Second, patterns(hosts)["all hosts"], f.request)
		g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
	})
}

// TestHolderKilled kills the holder under load; another host takes its shards
// over three seconds later.
func TestHolderKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 200.0, 100.0
		hosts := names(9)
		f := newFleet(t, 5, rate, burst, false, hosts...)
		time.Sleep(time.Second)
		pick := patterns(hosts[1:])["all hosts"]
		f.load(rate, burst, rate/2, 5*time.Second, pick, f.request)
		f.kill(hosts[0])
		time.AfterFunc(3*time.Second, func() {
			f.write(func(s *schema.State) {
				s.Fences = append(s.Fences, &schema.Fence{Name: hosts[0], Incarnation: 1})
				reassign(s, hosts[0], hosts[1], 1)
			})
		})
		o := f.load(rate, burst, rate/2, 15*time.Second, pick, f.request)
		t.Logf("refused in rate in the 15 s after the holder was killed: %.2f%%", 100*o.inRateRefused())
		g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
		g.Expect(o.inRateRefused()).To(BeNumerically("<=", 0.05))
	})
}

// TestPoolOfANewHolder lets hosts that have not heard of a new holder spend all
// they borrowed just before their loans end, and empties the new holder's pool
// just after it opens.
func TestPoolOfANewHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 10.0, 100.0
		hosts := names(10)
		deaf := hosts[2:]
		f := newFleet(t, 6, rate, burst, false, hosts...)
		time.Sleep(time.Second)
		started := time.Now()
		for time.Since(started) < 3*time.Second {
			f.burst(1, deaf...)
		}
		f.kill(hosts[0])
		time.Sleep(20 * time.Second)
		for _, name := range deaf {
			f.host(name).deaf.Store(true)
		}
		f.write(func(s *schema.State) { reassign(s, hosts[0], hosts[1], 1) })
		time.Sleep(time.Second)
		f.burst(1, hosts[1])
		time.Sleep(freshness - 1650*time.Millisecond)
		before := f.count()
		f.burst(60, deaf...)
		deafly := f.count() - before
		before += deafly
		for time.Since(started) < 33*time.Second {
			f.burst(60, hosts[1])
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("admitted by deaf hosts %d, by the new holder %d, worst excess %.2f", deafly, f.count()-before, f.worstExcess(rate, burst))
		g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
	})
}

// TestLoweredRate checks that a lowered rate holds once it is in force.
func TestLoweredRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hosts := names(5)
		f := newFleet(t, 9, 200, 100, false, hosts...)
		time.Sleep(time.Second)
		f.load(200, 100, 400, 10*time.Second, patterns(hosts)["all hosts"], f.request)
		f.write(func(s *schema.State) {
			s.Config.Workspaces[0].Rate = 50
			s.Config.Workspaces[0].Burst = 20
		})
		time.Sleep(time.Second)
		f.forget()
		f.load(50, 20, 400, 20*time.Second, patterns(hosts)["all hosts"], f.request)
		t.Logf("worst excess %.2f", f.worstExcess(50, 20))
		g.Expect(f.worstExcess(50, 20)).To(BeNumerically("<=", 1e-6))
	})
}
