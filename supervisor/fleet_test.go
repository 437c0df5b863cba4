package supervisor_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/balancer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/supervisor"
	"quetzalhub/util/set"
	"quetzalhub/witness"
)

const (
	fleetIntake = 12
	// crashFactor is the ratio of the requests in a second under which a cold upstream
	// falls over to those that it bears, and downtime the time until it is back.
	crashFactor = 2
	downtime    = 500 * time.Millisecond
	serviceTime = 100 * time.Millisecond
	callTimeout = 2 * time.Second
	// maxTries is the number of nodes to which a call is sent.
	maxTries = 7
)

// coldHost is a node with an upstream that is cold after each start and falls over if it
// then gets too many requests.
type coldHost struct {
	balancer *balancer.Balancer
	member   *schema.Member
	warmup   supervisor.Warmup

	mu sync.Mutex
	// process is the supervisor of the current process of the node, and cancel ends it.
	process   *supervisor.Supervisor
	cancel    context.CancelFunc
	down      bool
	born      int64
	coldUntil time.Time
	arrivals  []time.Time
	// ended is closed when the current start of the upstream ends.
	ended   chan struct{}
	crashes int
	// starts counts the starts of the upstream. pooled is the one to which the idle
	// connections of the node lead, last used at usedAt.
	starts, pooled int
	usedAt         time.Time
	// most is the largest number of requests in any second while it was cold.
	most int
}

// startNode starts or restarts the process of the node.
func (h *coldHost) startNode() {
	ctx, cancel := context.WithCancel(context.Background())
	s := supervisor.New(supervisor.Options{
		Service: "orders", Interval: interval, Prober: h, Memory: witness.New(), Reporter: reporter.Discard{}, OnChange: func() {},
		Warmups: warmups(h.warmup), Bound: supervisor.Bound{Ratio: 1.5, Margin: 8},
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
		s.Recall(h.process.Stated())
	}
	h.process, h.cancel, h.pooled = s, cancel, -1
	go s.Run(ctx)
}

func (h *coldHost) supervisor() *supervisor.Supervisor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Probe answers a health check.
func (h *coldHost) Probe(context.Context, string) (supervisor.Health, error) {
	time.Sleep(time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return supervisor.Health{}, errors.New("down")
	}
	return supervisor.Health{ID: h.member.Name, Cold: max(time.Until(h.coldUntil), 0)}, nil
}

// stop ends the upstream with all its requests.
func (h *coldHost) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopLocked()
}

func (h *coldHost) stopLocked() {
	if !h.down {
		h.down = true
		close(h.ended)
	}
}

// start starts the upstream cold, unless it runs.
func (h *coldHost) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return
	}
	h.down, h.born, h.ended = false, time.Now().UnixMilli(), make(chan struct{})
	h.coldUntil, h.arrivals = time.Now().Add(warmTime), nil
	h.starts++
}

// connect reports whether a request finds that all idle connections were closed shortly
// after their use.
func (h *coldHost) connect() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return false
	}
	reset := h.pooled >= 0 && h.pooled != h.starts && time.Since(h.usedAt) < 500*time.Millisecond
	h.pooled, h.usedAt = h.starts, time.Now()
	return reset
}

// arrive counts a request. It returns nil if the upstream is down.
func (h *coldHost) arrive() (ended chan struct{}, cold bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.down {
		return nil, false
	}
	if cold = now.Before(h.coldUntil); !cold {
		return h.ended, false
	}
	h.arrivals = append(h.arrivals, now)
	for now.Sub(h.arrivals[0]) >= time.Second {
		h.arrivals = h.arrivals[1:]
	}
	h.most = max(h.most, len(h.arrivals))
	if ended = h.ended; len(h.arrivals) > crashFactor*fleetIntake {
		h.crashes++
		h.stopLocked()
		time.AfterFunc(downtime, h.start)
	}
	return ended, cold
}

// run sends reports until the context ends.
func (h *coldHost) run(ctx context.Context, phase time.Duration) {
	time.Sleep(phase)
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		h.mu.Lock()
		down := h.down
		r := supervisor.Report{
			ID: h.member.Name, Born: h.born, Sequence: sequence, Service: "orders", Slots: 40, Cold: max(time.Until(h.coldUntil), 0),
		}
		h.mu.Unlock()
		if !down {
			h.supervisor().Report(r)
		}
		time.Sleep(interval)
	}
}

// serve runs a request at the upstream.
func (h *coldHost) serve(ctx context.Context) refuser.Code {
	node := h.supervisor()
	if h.connect() {
		node.IdleLost()
	}
	ended, cold := h.arrive()
	if ended == nil {
		node.Observe("orders", forwarder.Unreachable)
		return refuser.UpstreamRefused
	}
	took := serviceTime
	if cold {
		took *= 2
	}
	select {
	case <-time.After(took):
		node.Observe("orders", forwarder.Succeeded)
		return refuser.None
	case <-ended:
		// The upstream may listen again already.
		node.Observe("orders", forwarder.Lost)
		return refuser.UpstreamCrashed
	case <-ctx.Done():
		return refuser.DeadlinePassed
	}
}

// coldFleet is a fleet of nodes beside upstreams of one service in four failure domains, on
// the fake clock of synctest.
type coldFleet struct {
	hosts []*coldHost
	rng   *rand.Rand
	group sync.WaitGroup

	mu   sync.Mutex
	view *gossiper.View
	// served and sent count requests by the second in which they were sent.
	served, sent map[int]int
	began        time.Time
}

func (f *coldFleet) View() *gossiper.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func newColdFleet(nodes int, w supervisor.Warmup, seed uint64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 9)), served: map[int]int{}, sent: map[int]int{}, view: gossiper.NewView(nil)}
	for i := range nodes {
		h := &coldHost{warmup: w, born: 1, ended: make(chan struct{})}
		h.member = &schema.Member{Name: fmt.Sprint("node-", i), Domain: fmt.Sprint("d", i%4), Status: schema.Status_STATUS_ALIVE, Incarnation: 1}
		h.balancer = balancer.New(f, "", balancer.ByCapacity(h.member.Domain))
		f.hosts = append(f.hosts, h)
	}
	return f
}

// exchangeBeacons gives each node the load of all others.
func (f *coldFleet) exchangeBeacons() {
	members := map[string]*schema.Member{}
	for _, h := range f.hosts {
		members[h.member.Name] = &schema.Member{
			Name: h.member.Name, Domain: h.member.Domain, Status: schema.Status_STATUS_ALIVE, Incarnation: 1, Endpoints: h.supervisor().Endpoints(),
		}
	}
	f.mu.Lock()
	f.view = gossiper.NewView(members)
	f.mu.Unlock()
	for _, h := range f.hosts {
		for _, m := range members {
			for _, e := range m.Endpoints {
				h.balancer.RecordLoad(m, e)
			}
		}
	}
}

func (f *coldFleet) hostByName(name string) *coldHost {
	for _, h := range f.hosts {
		if h.member.Name == name {
			return h
		}
	}
	return nil
}

// call sends a call to nodes until one runs it.
func (f *coldFleet) call(from *coldHost, class schema.Class) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	tried := set.Of[string]()
	for range maxTries {
		target, ok := from.balancer.Pick("orders", tried)
		if !ok {
			return false
		}
		tried.Add(target.Member.GetName())
		h := f.hostByName(target.Member.GetName())
		time.Sleep(time.Millisecond)
		code := f.relay(ctx, h, class)
		target.RecordLoad(first(h.supervisor().Endpoints()))
		switch code {
		case refuser.None:
			target.Done(balancer.Answered, serviceTime)
			return true
		case refuser.UpstreamCold:
			target.Done(balancer.Cold, 0)
		case refuser.UpstreamCrashed:
			target.Done(balancer.Unreachable, 0)
			return false
		default:
			target.Done(balancer.Refused, 0)
		}
	}
	return false
}

func first(list []*schema.Endpoint) *schema.Endpoint {
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// relay runs a call at a node.
func (f *coldFleet) relay(ctx context.Context, h *coldHost, class schema.Class) refuser.Code {
	up, code := h.supervisor().UpstreamFor("orders")
	if code != refuser.None {
		return code
	}
	permit, err := up.Limiter.Acquire(ctx, guard.Request{Class: class, Objective: time.Second, Expected: serviceTime})
	if err != nil {
		return refuser.CodeOf(err)
	}
	defer permit.Release()
	return h.serve(ctx)
}

// generate sends requests from random nodes at a rate until the end.
func (f *coldFleet) generate(perSecond float64, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		from, class := f.hosts[f.rng.IntN(len(f.hosts))], schema.Class(1+f.rng.IntN(3))
		second := int(time.Since(f.began) / time.Second)
		f.mu.Lock()
		f.sent[second]++
		f.mu.Unlock()
		f.group.Go(func() {
			if f.call(from, class) {
				f.mu.Lock()
				f.served[second]++
				f.mu.Unlock()
			}
		})
	}
}

// run runs the fleet under load, with an event after 3 s, and returns the served share of the
// requests by second.
func (f *coldFleet) run(length time.Duration, perSecond float64, event func()) []float64 {
	ctx, cancel := context.WithCancel(context.Background())
	for i, h := range f.hosts {
		h.startNode()
		go h.run(ctx, interval*time.Duration(i)/time.Duration(len(f.hosts)))
	}
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		f.exchangeBeacons()
	}
	f.began = time.Now()
	end := f.began.Add(length)
	f.group.Go(func() { f.generate(perSecond, end) })
	time.AfterFunc(3*time.Second, event)
	for time.Now().Before(end) {
		time.Sleep(200 * time.Millisecond)
		f.exchangeBeacons()
	}
	f.group.Wait()
	cancel()
	for _, h := range f.hosts {
		h.cancel()
	}
	time.Sleep(2 * interval)
	synctest.Wait()
	var shares []float64
	for second := range int(length / time.Second) {
		shares = append(shares, float64(f.served[second])/float64(max(f.sent[second], 1)))
	}
	return shares
}

// crashes returns how often upstreams fell over, and the largest number of requests that a
// cold one got in a second.
func (f *coldFleet) crashes() (sum, most int) {
	for _, h := range f.hosts {
		sum += h.crashes
		most = max(most, h.most)
	}
	return sum, most
}

// TestDomainComesBackCold guards against cold upstreams that are overrun, fall over, start
// cold and are overrun again, which does not end by itself at ordinary load. Load pattern:
// a domain comes back cold under load; all upstreams do; one falls over by itself meanwhile.
func TestDomainComesBackCold(t *testing.T) {
	inDomain := func(h *coldHost) bool { return h.member.Domain == "d0" }
	all := func(*coldHost) bool { return true }
	// back stops some upstreams and starts them again after a time.
	back := func(f *coldFleet, which func(*coldHost) bool, after time.Duration) {
		for _, h := range f.hosts {
			if which(h) {
				h.stop()
				time.AfterFunc(after, h.start)
			}
		}
	}
	cases := map[string]struct {
		event func(f *coldFleet)
		// minServed is the least share of served requests in any second from 4 s to 9 s
		// after the event on.
		minServed float64
	}{
		"a domain, after two seconds": {func(f *coldFleet) { back(f, inDomain, 2*time.Second) }, 0.97},
		"a domain, at once":           {func(f *coldFleet) { back(f, inDomain, 5*time.Millisecond) }, 0.97},
		"all":                         {func(f *coldFleet) { back(f, all, 2*time.Second) }, 0.25},
		"all, and one falls over by itself": {func(f *coldFleet) {
			back(f, all, 2*time.Second)
			time.AfterFunc(5*time.Second, func() { back(f, func(h *coldHost) bool { return h == f.hosts[0] }, downtime) })
		}, 0.25},
	}
	const nodes, perNode = 16, 50
	for name, c := range cases {
		for _, limited := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, limited %v", name, limited), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					w := supervisor.Warmup{Time: warmTime, Intake: fleetIntake}
					if !limited {
						w.Intake = 0
					}
					f := newColdFleet(nodes, w, 1)
					shares := f.run(18*time.Second, nodes*perNode, func() { c.event(f) })
					crashes, most := f.crashes()
					t.Logf("%d crashes, at most %d in a second; served %.2f", crashes, most, shares)
					if !limited {
						g.Expect(crashes).To(BeNumerically(">", 0), "the load pattern does not show the fault")
						return
					}
					g.Expect(crashes).To(BeZero())
					g.Expect(most).To(BeNumerically("<=", 26))
					for second, share := range shares[7:12] {
						g.Expect(share).To(BeNumerically(">=", c.minServed), "%d s", second+7)
					}
					for second, share := range shares[14:] {
						g.Expect(share).To(BeNumerically(">=", 0.97), "%d s", second+14)
					}
				})
			})
		}
	}
}

// TestColdBoundUnderRestarts guards against more requests at a cold upstream in any second
// than the bound allows, whenever upstreams and nodes restart.
func TestColdBoundUnderRestarts(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(8, supervisor.Warmup{Time: warmTime, Intake: fleetIntake}, seed)
				rng := rand.New(rand.NewPCG(seed, 4))
				restarts := 0
				f.run(30*time.Second, 8*60, func() {
					for range 60 {
						h := f.hosts[rng.IntN(len(f.hosts))]
						if rng.IntN(3) == 0 {
							h.startNode()
						} else {
							h.stop()
							time.AfterFunc(time.Duration(rng.Float64()*rng.Float64()*float64(2*time.Second)), h.start)
						}
						restarts++
						time.Sleep(time.Duration(rng.ExpFloat64() * float64(300*time.Millisecond)))
					}
				})
				crashes, most := f.crashes()
				t.Logf("%d restarts, %d crashes, at most %d requests in a second", restarts, crashes, most)
				g.Expect(crashes).To(BeZero())
				g.Expect(most).To(BeNumerically("<=", 26))
			})
		})
	}
}
