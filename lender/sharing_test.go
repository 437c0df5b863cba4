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

func hostNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("node-%d", i)
	}
	return list
}

// trafficPatterns returns functions that pick the host of a request by the time
// since the start of the load.
func trafficPatterns(hosts []string) map[string]func(time.Duration) string {
	return map[string]func(time.Duration) string{
		"one host": func(time.Duration) string { return hosts[3] },
		"all hosts": func(at time.Duration) string {
			return hosts[int(at/time.Millisecond)*7%len(hosts)]
		},
		"moving": func(at time.Duration) string { return hosts[int(at/(2*time.Second))%len(hosts)] },
	}
}

// TestInRateRefusals checks that lending refuses at most two percentage points
// more of the requests within the rate than equal static shares do, for traffic
// at one host, at all hosts and at changing hosts, at 50 % and 90 % of the rate.
// A request is within the rate if one central bucket would have admitted it.
func TestInRateRefusals(t *testing.T) {
	const rate, burst = 200.0, 100.0
	hosts := hostNames(12)
	for name, pick := range trafficPatterns(hosts) {
		for _, share := range []float64{0.5, 0.9} {
			t.Run(fmt.Sprintf("%s at %.0f%%", name, share*100), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(t, 1, rate, burst, false, hosts...)
					time.Sleep(2 * time.Second)
					lent := f.sendLoad(rate, burst, rate*share, time.Minute, pick, f.sendRequest)
					excess := f.worstExcess(rate, burst)
					static := f.sendLoad(rate, burst, rate*share, time.Minute, pick, staticShares(hosts, rate, burst))
					t.Logf("sent %d, refused in rate: %.2f%%, static shares %.2f%%, calls to the holder %d",
						lent.sent, 100*lent.inRateRefused(), 100*static.inRateRefused(), f.calls)
					g.Expect(excess).To(BeNumerically("<=", 1e-6), "admissions beyond rate x window + burst")
					g.Expect(lent.inRateRefused()).To(BeNumerically("<=", static.inRateRefused()+0.02))
				})
			})
		}
	}
}

// staticShares returns a function that admits by equal static shares.
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

// TestWorstServedWorkspace guards against one workspace causing refusals for
// another: one sends four times its rate, the other half of its rate.
func TestWorstServedWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 100.0, 50.0
		hosts := hostNames(6)
		f := newFleet(t, 3, rate, burst, false, hosts...)
		f.updateState(func(s *schema.State) {
			s.Config.Workspaces = append(s.Config.Workspaces, &schema.Workspace{Name: "loud", Rate: rate, Burst: burst})
		})
		time.Sleep(2 * time.Second)
		stop := make(chan struct{})
		go f.sendConstantLoad("loud", 4*rate, hosts, stop)
		compliant := f.sendLoad(rate, burst, rate/2, 20*time.Second, trafficPatterns(hosts)["all hosts"], f.sendRequest)
		close(stop)
		t.Logf("compliant workspace: sent %d, refused in rate %.2f%%", compliant.sent, 100*compliant.inRateRefused())
		g.Expect(compliant.inRateRefused()).To(BeNumerically("<=", 0.01))
	})
}

// TestSharesUnderFaults checks that no window has more admissions than
// rate x window + burst while hosts are killed, frozen and restarted, messages
// are lost and shards are moved at random.
func TestSharesUnderFaults(t *testing.T) {
	const rate, burst = 100.0, 40.0
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hosts := hostNames(5)
				f := newFleet(t, seed, rate, burst, true, hosts...)
				time.Sleep(5 * time.Second)
				go f.injectFaults(hosts, 3*time.Minute)
				f.sendSurges(hosts, 3*time.Minute)
				admitted := f.admittedCount()
				t.Logf("admitted %d, worst excess %.2f", admitted, f.worstExcess(rate, burst))
				g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
				g.Expect(float64(admitted)).To(BeNumerically(">", rate*180/4), "the fleet must go on admitting")
			})
		})
	}
}

// TestStaticSharesOvershoot shows that equal static shares exceed the same bound
// when hosts are restarted, because each restart fills the bucket.
func TestStaticSharesOvershoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 100.0, 40.0
		hosts := hostNames(5)
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

// TestClosedShardStaysClosed guards against a closed shard that lends again after
// its ledgers were handed over: a new state arrives between CloseShard and the
// next term.
func TestClosedShardStaysClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 100.0, 40.0
		hosts := hostNames(3)
		f := newFleet(t, 4, rate, burst, false, hosts...)
		time.Sleep(time.Second)
		f.sendLoad(rate, burst, 3*rate, 5*time.Second, trafficPatterns(hosts)["all hosts"], f.sendRequest)
		holder := f.host(hosts[0])
		index := limiter.ShardOf(workspace)
		ledgers, ok := holder.lender.CloseShard(index)
		g.Expect(ok).To(BeTrue())
		f.updateState(func(s *schema.State) { s.Config.Version++ })
		f.sendLoad(rate, burst, 3*rate, 2*freshness, trafficPatterns(hosts)["all hosts"], f.sendRequest)
		g.Expect(holder.lender.IsShardClosed(index)).To(BeTrue())
		f.host(hosts[1]).lender.Adopt(ledgers)
		f.updateState(func(s *schema.State) {
			s.Shards[index] = &schema.Shard{Index: index, Holder: hosts[1], Incarnation: 1, Term: 2, Carried: true}
		})
		f.sendLoad(rate, burst, 3*rate, 5*time.Second, trafficPatterns(hosts)["all hosts"], f.sendRequest)
		g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
	})
}

// TestHolderKilled checks the bound and the refusals within the rate after the
// holder is killed under load. Another host takes over its shards three seconds
// later.
func TestHolderKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 200.0, 100.0
		hosts := hostNames(9)
		f := newFleet(t, 5, rate, burst, false, hosts...)
		time.Sleep(time.Second)
		pick := trafficPatterns(hosts[1:])["all hosts"]
		f.sendLoad(rate, burst, rate/2, 5*time.Second, pick, f.sendRequest)
		f.killHost(hosts[0])
		time.AfterFunc(3*time.Second, func() {
			f.updateState(func(s *schema.State) {
				s.Fences = append(s.Fences, &schema.Fence{Name: hosts[0], Incarnation: 1})
				reassignShards(s, hosts[0], hosts[1], 1)
			})
		})
		o := f.sendLoad(rate, burst, rate/2, 15*time.Second, pick, f.sendRequest)
		t.Logf("refused in rate in the 15 s after the holder was killed: %.2f%%", 100*o.inRateRefused())
		g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
		g.Expect(o.inRateRefused()).To(BeNumerically("<=", 0.05))
	})
}

// TestNewHolderPool guards against admissions beyond the bound after a change of
// holder. Hosts that have not learned of the new holder use up their loans just
// before these expire, and the new holder's pool is emptied just after it starts
// to lend.
func TestNewHolderPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate, burst = 10.0, 100.0
		hosts := hostNames(10)
		isolated := hosts[2:]
		f := newFleet(t, 6, rate, burst, false, hosts...)
		time.Sleep(time.Second)
		started := time.Now()
		for time.Since(started) < 3*time.Second {
			f.sendBurst(1, isolated...)
		}
		f.killHost(hosts[0])
		time.Sleep(20 * time.Second)
		for _, name := range isolated {
			f.host(name).isolated.Store(true)
		}
		f.updateState(func(s *schema.State) { reassignShards(s, hosts[0], hosts[1], 1) })
		time.Sleep(time.Second)
		f.sendBurst(1, hosts[1])
		time.Sleep(freshness - 1650*time.Millisecond)
		before := f.admittedCount()
		f.sendBurst(60, isolated...)
		admittedByIsolated := f.admittedCount() - before
		before += admittedByIsolated
		for time.Since(started) < 33*time.Second {
			f.sendBurst(60, hosts[1])
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("admitted by isolated hosts %d, by the new holder %d, worst excess %.2f", admittedByIsolated, f.admittedCount()-before, f.worstExcess(rate, burst))
		g.Expect(f.worstExcess(rate, burst)).To(BeNumerically("<=", 1e-6))
	})
}

// TestLoweredRate checks that a lowered rate is enforced one second after the
// change.
func TestLoweredRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hosts := hostNames(5)
		f := newFleet(t, 9, 200, 100, false, hosts...)
		time.Sleep(time.Second)
		f.sendLoad(200, 100, 400, 10*time.Second, trafficPatterns(hosts)["all hosts"], f.sendRequest)
		f.updateState(func(s *schema.State) {
			s.Config.Workspaces[0].Rate = 50
			s.Config.Workspaces[0].Burst = 20
		})
		time.Sleep(time.Second)
		f.clearAdmitted()
		f.sendLoad(50, 20, 400, 20*time.Second, trafficPatterns(hosts)["all hosts"], f.sendRequest)
		t.Logf("worst excess %.2f", f.worstExcess(50, 20))
		g.Expect(f.worstExcess(50, 20)).To(BeNumerically("<=", 1e-6))
	})
}
