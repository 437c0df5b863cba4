package rationer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/estimator"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/rationer"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/shedder"
)

const (
	intake     = 12.0
	warmup     = 3 * time.Second
	restarting = time.Second
	slots      = 150
	timeout    = 5 * time.Second
	// overrun is the multiple of its intake in one second above which a cold upstream
	// crashes.
	overrun = 2
)

// kind describes requests; rate is that of callers in a fleet of 82 nodes.
type kind struct {
	service string
	work    time.Duration
	calls   map[string]int
	rate    float64
	class   schema.Class
}

var kinds = map[string]kind{
	"look-up":  {"sizes", 300 * time.Millisecond, nil, 657, 2},
	"order":    {"cuts", 380 * time.Millisecond, map[string]int{"index": 1}, 857, 4},
	"download": {"patterns", 240 * time.Millisecond, nil, 76, 2},
	"entry":    {"grades", 240 * time.Millisecond, nil, 239, 3},
	"index":    {"patterns", 15 * time.Millisecond, map[string]int{"listing": 4}, 0, 0},
	"listing":  {"grades", 74 * time.Millisecond, nil, 0, 0},
}

// upstreams is the number of upstreams of each service in a fleet of 82 nodes.
var upstreams = map[string]int{"sizes": 24, "cuts": 43, "patterns": 9, "grades": 6}

// record holds the profiles of all kinds, as an earlier run of the fleet recorded them.
func record() []*schema.Profile {
	var list []*schema.Profile
	for route, k := range kinds {
		p := &schema.Profile{Route: route, Service: k.service, Busy: durationpb.New(k.work), Nodes: 3}
		for call, count := range k.calls {
			p.Calls = append(p.Calls, &schema.Fanout{Route: call, Count: float32(count)})
		}
		list = append(list, p)
	}
	return list
}

// node simulates a node with the upstream beside it.
type node struct {
	name, service string
	estimator     *estimator.Estimator
	shedder       *shedder.Shedder
	entry         forwarder.LoadShedder
	view          *gossiper.View

	// arrivals are the times of the requests in the last second.
	arrivals             []time.Time
	coldUntil, downUntil time.Time
	start, crashes       int
	running              int
	tokens               float64
	filledAt             time.Time
	latency              time.Duration
}

func (n *node) isCold(now time.Time) bool { return now.Before(n.coldUntil) }

// endpoint describes the upstream as its node announces it.
func (n *node) endpoint() *schema.Endpoint {
	now := time.Now()
	e := &schema.Endpoint{
		Service: n.service, Phase: schema.Phase_PHASE_READY, Limit: slots, Busy: float32(n.running), Latency: durationpb.New(n.latency),
	}
	if n.isCold(now) {
		e.Intake, e.Cold = intake, durationpb.New(n.coldUntil.Sub(now))
	}
	if now.Before(n.downUntil) {
		e.Phase = schema.Phase_PHASE_UNSPECIFIED
	}
	return e
}

// options describe a fleet.
type options struct {
	nodes int
	// cold is true if all upstreams start cold, and met if the nodes know each other.
	cold, met bool
	// recorded gives the nodes the record of the costs.
	recorded []*schema.Profile
	// unguarded lets cold upstreams get all that is sent to them, and unrationed leaves the
	// entry to the shedder.
	unguarded, unrationed bool
}

// simulation runs a fleet on the fake clock of synctest.
type simulation struct {
	options
	mu    sync.Mutex
	rng   *rand.Rand
	nodes []*node
	// byName holds the nodes by name.
	byName map[string]*node
	group  sync.WaitGroup
	start  time.Time
	// sent and served count the requests by the second in which they were sent.
	sent, served map[string][]float64
	// lost counts admitted requests that failed.
	lost float64
}

func newSimulation(o options) *simulation {
	sim := &simulation{options: o, rng: rand.New(rand.NewPCG(1, 2)), byName: map[string]*node{}, sent: map[string][]float64{}, served: map[string][]float64{}}
	for _, service := range []string{"grades", "patterns", "sizes", "cuts"} {
		for range max(1, (upstreams[service]*o.nodes+41)/82) {
			n := &node{name: fmt.Sprint("node-", len(sim.nodes)), service: service, estimator: estimator.New(service), latency: kinds["look-up"].work, filledAt: time.Now()}
			n.shedder = shedder.New(n.fleet(sim), n.estimator)
			n.entry = n.shedder
			if !o.unrationed {
				n.entry = rationer.New(rationer.Options{
					Fleet: n.fleet(sim), Costs: n.estimator, Shedder: n.shedder, Reporter: reporter.Discard{},
					Intake: func(string) float64 { return intake },
				})
			}
			n.estimator.Load(o.recorded)
			if o.cold {
				n.coldUntil = time.Now().Add(warmup)
			}
			sim.nodes = append(sim.nodes, n)
			sim.byName[n.name] = n
		}
	}
	return sim
}

// fleetOf is the fleet as one node sees it.
type fleetOf struct {
	sim  *simulation
	node *node
}

func (n *node) fleet(sim *simulation) fleetOf { return fleetOf{sim, n} }

func (f fleetOf) View() *gossiper.View {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	return f.node.view
}

// exchange gives each node what the others send. In the first rounds, each beacon arrives
// with a chance of one half.
func (sim *simulation) exchange(round int) {
	sim.mu.Lock()
	members := map[string]*schema.Member{}
	for _, n := range sim.nodes {
		members[n.name] = &schema.Member{Name: n.name, Status: schema.Status_STATUS_ALIVE, Incarnation: 1, Endpoints: []*schema.Endpoint{n.endpoint()}}
	}
	full := gossiper.NewView(members)
	for _, n := range sim.nodes {
		n.view = full
		if round < 2 && !sim.met {
			known := map[string]*schema.Member{n.name: members[n.name]}
			for name, m := range members {
				if round > 0 && sim.rng.IntN(2) == 0 {
					known[name] = m
				}
			}
			n.view = gossiper.NewView(known)
			n.view.Known = len(sim.nodes)
		}
	}
	sim.mu.Unlock()
	inflows, profiles := make([][]*schema.Inflow, len(sim.nodes)), make([][]*schema.Profile, len(sim.nodes))
	for i, n := range sim.nodes {
		inflows[i], profiles[i] = n.shedder.Inflows(), n.estimator.Profiles()
	}
	for i, n := range sim.nodes {
		for j, other := range sim.nodes {
			if i == j || n.view.Members[other.name] == nil {
				continue
			}
			n.shedder.StoreInflows(other.name, inflows[j])
			if round%2 == 0 {
				n.estimator.StoreProfiles(other.name, profiles[j])
			}
		}
	}
}

// pick chooses an upstream of a service by what it bears.
func (sim *simulation) pick(from *node, service string, tried map[string]bool) *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	total, now := 0.0, time.Now()
	var chosen *node
	for _, m := range from.view.Service(service) {
		n := sim.byName[m.GetName()]
		if tried[n.name] {
			continue
		}
		weight := float64(slots)
		if n.isCold(now) {
			weight = intake * n.latency.Seconds()
		}
		total += weight
		if sim.rng.Float64()*total < weight {
			chosen = n
		}
	}
	return chosen
}

// call runs a call and reports whether it succeeded.
func (sim *simulation) call(from *node, route string, deadline time.Time) bool {
	tried := map[string]bool{}
	for range 3 {
		n := sim.pick(from, kinds[route].service, tried)
		if n == nil {
			return false
		}
		tried[n.name] = true
		if start, ok := sim.begin(n); ok {
			return sim.run(n, start, route, deadline)
		}
	}
	return false
}

// begin sends a request to an upstream, unless its node refuses it. It returns the number of
// the upstream's start.
func (sim *simulation) begin(n *node) (start int, ok bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := time.Now()
	if now.Before(n.downUntil) || n.running >= slots {
		return 0, false
	}
	if n.isCold(now) && !sim.unguarded {
		n.tokens = min(3, n.tokens+intake*now.Sub(n.filledAt).Seconds())
		n.filledAt = now
		if n.tokens < 1 {
			return 0, false
		}
		n.tokens--
	}
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) > time.Second {
		n.arrivals = n.arrivals[1:]
	}
	n.running++
	if n.isCold(now) && float64(len(n.arrivals)) > overrun*intake {
		n.crash(now)
	}
	return n.start, true
}

// crash ends the upstream. It starts again cold.
func (n *node) crash(now time.Time) {
	n.crashes++
	n.start++
	n.running, n.arrivals = 0, nil
	n.downUntil = now.Add(restarting)
	n.coldUntil = n.downUntil.Add(warmup)
}

// run runs a request that an upstream has accepted.
func (sim *simulation) run(n *node, start int, route string, deadline time.Time) bool {
	k, began := kinds[route], time.Now()
	time.Sleep(k.work)
	ok, calls := true, map[string]int{}
	for call, count := range k.calls {
		for range count {
			if ok {
				calls[call]++
				ok = sim.call(n, call, deadline)
			}
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if n.start != start {
		return false
	}
	n.running--
	n.latency += (time.Since(began) - n.latency) / 20
	ok = ok && time.Now().Before(deadline)
	if ok {
		n.estimator.RecordSuccess(route, time.Since(began), calls, nil)
	} else {
		n.estimator.RecordFailure(route, time.Since(began), calls, nil)
	}
	return ok
}

// request sends a request of a caller, who retries once if it is refused.
func (sim *simulation) request(from *node, route string, second int) {
	k, deadline := kinds[route], time.Now().Add(timeout)
	for range 2 {
		call := &forwarder.Call{Route: &resolver.Route{Name: route, Service: k.service}, Service: k.service}
		err := from.entry.Admit(call, k.class, rand.Uint32N(guard.RanksPerClass))
		if err == nil {
			ok := sim.call(from, route, deadline)
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if ok {
				sim.served[route][second]++
			} else {
				sim.lost++
			}
			return
		}
		delay := 250*time.Millisecond + rand.N(500*time.Millisecond)
		var refusal *refuser.Error
		if errors.As(err, &refusal) && refusal.Detail.RetryAfter > 0 {
			delay = refusal.Detail.RetryAfter
		}
		time.Sleep(min(delay, time.Until(deadline)/3))
	}
}

// arrive sends the requests of a route.
func (sim *simulation) arrive(route string, seconds int) {
	rng := rand.New(rand.NewPCG(uint64(len(route)), 5))
	rate := kinds[route].rate * float64(len(sim.nodes)) / 82
	for end := sim.start.Add(time.Duration(seconds) * time.Second); ; {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		second := int(time.Since(sim.start) / time.Second)
		from := sim.nodes[rng.IntN(len(sim.nodes))]
		sim.mu.Lock()
		sim.sent[route][second]++
		sim.mu.Unlock()
		sim.group.Go(func() { sim.request(from, route, second) })
	}
}

// play runs the fleet for some seconds, with events at the start of a second.
func (sim *simulation) play(ctx context.Context, seconds int, events map[int]func()) {
	ctx, cancel := context.WithCancel(ctx)
	sim.start = time.Now()
	sim.exchange(0)
	for _, n := range sim.nodes {
		go n.shedder.Run(ctx)
	}
	for _, route := range []string{"look-up", "order", "download", "entry"} {
		sim.sent[route], sim.served[route] = make([]float64, seconds), make([]float64, seconds)
		sim.group.Go(func() { sim.arrive(route, seconds) })
	}
	for round := 1; round <= 5*seconds; round++ {
		time.Sleep(200 * time.Millisecond)
		if event := events[round/5]; event != nil && round%5 == 0 {
			event()
		}
		sim.exchange(round)
	}
	sim.group.Wait()
	cancel()
	synctest.Wait()
}

// turnCold makes all upstreams of a service cold.
func (sim *simulation) turnCold(service string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, n := range sim.nodes {
		if n.service == service {
			n.coldUntil, n.arrivals = time.Now().Add(warmup), nil
		}
	}
}

// crashOne crashes one upstream of a service, whatever its load.
func (sim *simulation) crashOne(service string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, n := range sim.nodes {
		if n.service == service {
			n.crash(time.Now())
			return
		}
	}
}

// crashes returns the number of crashes, and the largest number at one upstream.
func (sim *simulation) crashes() (total, most int) {
	for _, n := range sim.nodes {
		total, most = total+n.crashes, max(most, n.crashes)
	}
	return total, most
}

// shares returns the share of the requests that were served, by second.
func (sim *simulation) shares(routes ...string) []float64 {
	var shares []float64
	for second := range sim.sent["order"] {
		sent, served := 0.0, 0.0
		for _, route := range routes {
			sent += sim.sent[route][second]
			served += sim.served[route][second]
		}
		shares = append(shares, served/max(sent, 1))
	}
	return shares
}
