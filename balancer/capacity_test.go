package balancer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/balancer"
	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/set"
	"quetzalhub/witness"
)

// endpoint returns the load report of an upstream with a concurrency limit of 20.
func endpoint(busy uint32, latency time.Duration) *schema.Endpoint {
	return &schema.Endpoint{
		Service: "orders", Phase: schema.Phase_PHASE_READY, Limit: 20, Active: busy, Latency: durationpb.New(latency),
	}
}

// TestPickByCapacity guards against selections that ignore the load reports, the
// failures or the failure domain. Of four upstreams, the first two are in the own
// failure domain.
func TestPickByCapacity(t *testing.T) {
	baseline := func() []*schema.Endpoint {
		var list []*schema.Endpoint
		for range 4 {
			list = append(list, endpoint(4, 40*time.Millisecond))
		}
		return list
	}
	cases := map[string]struct {
		modify  func(list []*schema.Endpoint)
		results [4]balancer.Result
		// least and most are the bounds of the share of each node.
		least, most [4]float64
	}{
		"spare capacity in the own domain": {
			nil, [4]balancer.Result{}, [4]float64{0.4, 0.4, 0, 0}, [4]float64{0.6, 0.6, 0.1, 0.1},
		},
		"own domain is full": {
			func(l []*schema.Endpoint) { l[0].Active, l[1].Active = 20, 20 },
			[4]balancer.Result{},
			[4]float64{0, 0, 0.35, 0.35},
			[4]float64{0.1, 0.1, 0.6, 0.6},
		},
		"one upstream ten times slower": {
			func(l []*schema.Endpoint) { l[0].Latency = durationpb.New(400 * time.Millisecond) },
			[4]balancer.Result{},
			[4]float64{0, 0.8, 0, 0},
			[4]float64{0.01, 1, 0.1, 0.1},
		},
		"one upstream with a rate limit": {
			func(l []*schema.Endpoint) { l[0].Rate, l[0].Active = 50, 1 },
			[4]balancer.Result{},
			[4]float64{0.02, 0.7, 0, 0},
			[4]float64{0.2, 0.98, 0.1, 0.1},
		},
		"one upstream cold after its start": {
			func(l []*schema.Endpoint) { l[0].Cold = durationpb.New(time.Minute) },
			[4]balancer.Result{},
			[4]float64{0.1, 0.5, 0, 0},
			[4]float64{0.4, 0.85, 0.1, 0.1},
		},
		"one upstream cold, with an intake": {
			func(l []*schema.Endpoint) { l[0].Cold, l[0].Intake, l[0].Active = durationpb.New(time.Minute), 12, 0 },
			[4]balancer.Result{},
			[4]float64{0, 0.8, 0, 0},
			[4]float64{0.05, 1, 0.1, 0.1},
		},
		"one upstream warm by now": {
			func(l []*schema.Endpoint) { l[0].Cold, l[0].Intake = durationpb.New(time.Millisecond), 12 },
			[4]balancer.Result{},
			[4]float64{0.4, 0.4, 0, 0},
			[4]float64{0.6, 0.6, 0.1, 0.1},
		},
		"one cold upstream that bears no more": {
			nil, [4]balancer.Result{balancer.Cold}, [4]float64{0, 0.8, 0, 0}, [4]float64{0.1, 1, 0.1, 0.1},
		},
		"one upstream fails 40% of its calls quickly": {
			func(l []*schema.Endpoint) { l[0].Failing, l[0].Latency = 0.4, durationpb.New(20*time.Millisecond) },
			[4]balancer.Result{},
			[4]float64{0, 0.8, 0, 0},
			[4]float64{0.06, 1, 0.1, 0.1},
		},
		"failures measured at this node": {
			nil, [4]balancer.Result{balancer.Failed}, [4]float64{0, 0.7, 0, 0}, [4]float64{0.12, 1, 0.1, 0.1},
		},
		"abandoned calls are ignored": {
			nil, [4]balancer.Result{balancer.Abandoned}, [4]float64{0.4, 0.4, 0, 0}, [4]float64{0.6, 0.6, 0.1, 0.1},
		},
		"one unreachable node": {
			nil, [4]balancer.Result{balancer.Unreachable}, [4]float64{0, 0.8, 0, 0}, [4]float64{0.1, 1, 0.1, 0.1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				list := baseline()
				if c.modify != nil {
					c.modify(list)
				}
				members := map[string]*schema.Member{}
				for i, e := range list {
					m := &schema.Member{
						Name: fmt.Sprint("node-", i), Domain: []string{"a", "a", "b", "c"}[i], Status: schema.Status_STATUS_ALIVE,
						Incarnation: 1, Endpoints: []*schema.Endpoint{e},
					}
					members[m.Name] = m
				}
				b := balancer.New(staticDirectory{gossiper.NewView(members)}, "", balancer.ByCapacity("a"))
				for _, m := range members {
					b.RecordLoad(m, m.Endpoints[0])
				}
				const calls = 2000
				shares := [4]float64{}
				for range calls {
					target, ok := b.Pick("orders", nil)
					g.Expect(ok).To(BeTrue())
					var i int
					_, err := fmt.Sscanf(target.Member.GetName(), "node-%d", &i)
					g.Expect(err).NotTo(HaveOccurred())
					shares[i] += 1.0 / calls
					target.Done(c.results[i], 40*time.Millisecond)
					time.Sleep(time.Millisecond)
				}
				for i, share := range shares {
					g.Expect(share).To(BeNumerically(">=", c.least[i]), "node %d of %.3f", i, shares)
					g.Expect(share).To(BeNumerically("<=", c.most[i]), "node %d of %.3f", i, shares)
				}
			})
		})
	}
}

// TestDepartedInstance guards against calls to an upstream that has left, because the
// node beside it has restarted and announces it as ready again.
func TestDepartedInstance(t *testing.T) {
	for name, opts := range map[string][]balancer.Option{"by capacity": {balancer.ByCapacity("north")}, "by expected wait": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			memory := witness.New()
			d := staticDirectory{gossiper.NewView(map[string]*schema.Member{
				"node-0": {Name: "node-0", Incarnation: 2, Status: schema.Status_STATUS_ALIVE, Endpoints: []*schema.Endpoint{endpointOf("i-0")}},
				"node-1": {Name: "node-1", Incarnation: 1, Status: schema.Status_STATUS_ALIVE, Endpoints: []*schema.Endpoint{endpointOf("i-1")}},
			})}
			b := balancer.New(d, "", append(opts, balancer.WithMemory(memory))...)
			left := endpointOf("i-0")
			left.Phase = schema.Phase_PHASE_DRAINING
			b.RecordLoad(&schema.Member{Name: "node-0", Incarnation: 1}, left)
			for range 100 {
				target, ok := b.Pick("orders", nil)
				g.Expect(ok).To(BeTrue())
				g.Expect(target.Member.GetName()).To(Equal("node-1"))
			}
			_, ok := b.Pick("orders", set.Of("node-1"))
			g.Expect(ok).To(BeFalse())
		})
	}
}

func endpointOf(id string) *schema.Endpoint {
	e := endpoint(1, 40*time.Millisecond)
	e.Instance = &schema.Instance{Id: id, Born: 5}
	return e
}
