package quarantiner_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/quarantiner"
	"quetzalhub/schema"
)

const (
	// modelTick is the step of the model, and newsDelay the time after which other nodes
	// have the news of a crash.
	modelTick, newsDelay = 10 * time.Millisecond, 20 * time.Millisecond
	// retryDelay is the time before a retry of a request under which an upstream crashed.
	retryDelay   = 50 * time.Millisecond
	beaconPeriod = 250 * time.Millisecond
	// modelRate is the number of requests a second.
	modelRate = 60
	// deadlyRate is that of each deadly request among them.
	deadlyRate = 5
	// modelRestart is the time for which an upstream is down after a deadly request.
	modelRestart     = 300 * time.Millisecond
	minWork, maxWork = 20 * time.Millisecond, 700 * time.Millisecond
)

// method is how the nodes of the model use what the quarantiner offers.
type method struct {
	// byHost tells the restarts of one host from different hosts, and avoids those that
	// crashed. tellsEnds tells other nodes of runs that ended.
	byHost, tellsEnds bool
}

var (
	byInstance = method{}
	byEnds     = method{tellsEnds: true}
	byHosts    = method{byHost: true, tellsEnds: true}
)

// day is what happens in the model.
type day struct {
	hosts, items, deadly int
	// share is that of the hosts that flap, from the start for the given time.
	share          float64
	period, length time.Duration
	// together is true if they go down at the same time.
	together bool
	seed     uint64
}

// node is a host of the model with its upstream.
type node struct {
	name     string
	q        *quarantiner.Quarantiner
	instance int
	up       bool
	flaps    bool
	phase    time.Duration
	upAgain  time.Time
	// downAt is the time at which it last went down, as others learn newsDelay later.
	downAt time.Time
	runs   []*modelRun
	turn   bool
}

// modelRun is a run of a request in an upstream.
type modelRun struct {
	quarantiner.Run
	until time.Time
}

// sending is a request on its way.
type sending struct {
	entry   *node
	request quarantiner.Request
	deadly  bool
	tried   map[string]bool
	at      time.Time
}

// model plays requests against upstreams that crash, on paused clocks.
type model struct {
	day
	method
	random *rand.Rand
	nodes  []*node
	start  time.Time
	// news holds the times at which the crashes of nodes are known to all.
	news    map[*node]time.Time
	retries []*sending
	// crashes counts those of each deadly request, and longest is the longest hold of an
	// innocent one.
	crashes map[string]int
	longest time.Duration
	served  int
	// begun is the number of runs, which tells apart those that begin in one step.
	begun int
}

func newModel(d day, m method) *model {
	random := rand.New(rand.NewPCG(d.seed, 7))
	p := &model{day: d, method: m, random: random, start: time.Now(), news: map[*node]time.Time{}, crashes: map[string]int{}}
	flapping := 0
	if d.share > 0 {
		flapping = max(int(d.share*float64(d.hosts)), 1)
	}
	for i := range d.hosts {
		n := &node{name: fmt.Sprint("host-", i), q: quarantiner.New(), up: true, flaps: i < flapping}
		if !d.together {
			n.phase = time.Duration(random.Int64N(int64(max(d.period, 1))))
		}
		p.nodes = append(p.nodes, n)
	}
	return p
}

func (p *model) play(total time.Duration) {
	beacon := p.start
	for ; time.Since(p.start) < total; time.Sleep(modelTick) {
		now := time.Now()
		for _, n := range p.nodes {
			p.turnOver(n, now)
			p.finish(n, now)
		}
		for n, at := range p.news {
			if !now.Before(at) {
				delete(p.news, n)
				p.tell(n)
			}
		}
		var due []*sending
		p.retries = slices.DeleteFunc(p.retries, func(s *sending) bool {
			if now.Before(s.at) {
				return false
			}
			due = append(due, s)
			return true
		})
		for _, s := range due {
			p.send(s, now)
		}
		if !now.Before(beacon) {
			beacon = now.Add(beaconPeriod)
			for _, n := range p.nodes {
				p.tell(n)
			}
		}
		// The number of arrivals has a Poisson distribution.
		for left := math.Exp(-modelRate * modelTick.Seconds()); ; {
			if left /= p.random.Float64(); left > 1 {
				break
			}
			p.arrive(now)
		}
	}
}

// turnOver ends or starts the upstream of a node.
func (p *model) turnOver(n *node, now time.Time) {
	up := !now.Before(n.upAgain)
	if since := now.Sub(p.start); n.flaps && since < p.length && (since+n.phase)%p.period >= p.period/2 {
		up = false
	}
	if up && !n.up {
		n.instance++
	}
	if !up && n.up {
		p.crash(n, now)
	}
	n.up = up
}

func (p *model) crash(n *node, now time.Time) {
	n.up, n.downAt = false, now
	var runs []quarantiner.Run
	for _, r := range n.runs {
		runs = append(runs, r.Run)
	}
	n.runs, n.turn = nil, false
	if len(runs) == 0 {
		return
	}
	id, host := fmt.Sprint(n.name, "-", n.instance), n.name
	if !p.byHost {
		host = id
	}
	n.q.RecordHostCrash(host, id, 1, runs)
	p.news[n] = now.Add(newsDelay)
}

// finish ends the runs that are done.
func (p *model) finish(n *node, now time.Time) {
	n.runs = slices.DeleteFunc(n.runs, func(r *modelRun) bool {
		if now.Before(r.until) {
			return false
		}
		if f := r.Request.Fingerprint(); r.Isolated || p.tellsEnds && n.q.Crashes(f) > 0 {
			n.q.RecordEnd(f)
		}
		n.turn = n.turn && !r.Isolated
		p.served++
		return true
	})
}

// tell tells all other nodes what a node knows.
func (p *model) tell(n *node) {
	told := n.q.Suspicions()
	if !p.tellsEnds {
		told = slices.DeleteFunc(told, func(s *schema.Suspicion) bool { return len(s.GetCrashes()) == 0 })
	}
	for _, other := range p.nodes {
		if other != n {
			other.q.Store(told)
		}
	}
}

// arrive sends a request to a random node.
func (p *model) arrive(now time.Time) {
	entry := p.nodes[p.random.IntN(len(p.nodes))]
	r := request("gloves", p.random.IntN(p.items))
	deadly := p.random.IntN(modelRate) < deadlyRate*p.deadly
	if deadly {
		r = request("hides", p.random.IntN(p.deadly))
	}
	p.send(&sending{entry: entry, request: r, deadly: deadly, tried: map[string]bool{}}, now)
}

// send makes an attempt at a request. A request lost by a crash is sent again once.
func (p *model) send(s *sending, now time.Time) {
	n := p.pick(s.entry, s.request, s.tried, s.deadly)
	if n == nil {
		return
	}
	s.tried[n.name] = true
	if p.begin(s.entry, n, s.request, s.deadly, now) && len(s.tried) < 2 {
		s.at = now.Add(retryDelay)
		if !p.byHost {
			s.at = now.Add(modelTick)
		}
		p.retries = append(p.retries, s)
	}
}

// pick selects the node for a request as the dispatcher does, or nil.
func (p *model) pick(entry *node, r quarantiner.Request, tried map[string]bool, deadly bool) *node {
	f := r.Fingerprint()
	treatment, left := entry.q.Treatment(f)
	if treatment == quarantiner.Held {
		p.hold(left, deadly)
		return nil
	}
	if treatment == quarantiner.Normal {
		return p.highest(func(n *node) bool { return !tried[n.name] }, func(*node) uint64 { return p.random.Uint64() })
	}
	hash := func(n *node) uint64 { return xxhash.Sum64String(strconv.FormatUint(uint64(f), 36) + n.name) }
	if p.byHost {
		under, lately := entry.q.CrashedHosts(f)
		for _, hosts := range []quarantiner.Hosts{lately, under} {
			if n := p.highest(func(n *node) bool { return !tried[n.name] && !hosts.Has(n.name) }, hash); n != nil {
				return n
			}
		}
		if treatment, left = entry.q.TreatmentAtLast(f); treatment == quarantiner.Held {
			p.hold(left, deadly)
			return nil
		}
	}
	return p.highest(func(n *node) bool { return !tried[n.name] }, hash)
}

// highest returns the allowed node with the highest value among those that are up.
func (p *model) highest(allows func(n *node) bool, value func(n *node) uint64) *node {
	var best *node
	highest := uint64(0)
	for _, n := range p.nodes {
		if !n.up && time.Since(n.downAt) >= newsDelay || !allows(n) {
			continue
		}
		if v := value(n); best == nil || v > highest {
			best, highest = n, v
		}
	}
	return best
}

func (p *model) hold(left time.Duration, deadly bool) {
	if !deadly {
		p.longest = max(p.longest, left)
	}
}

// begin begins a run of a request at a node, and reports whether the upstream crashed at once.
func (p *model) begin(entry, n *node, r quarantiner.Request, deadly bool, now time.Time) bool {
	f := r.Fingerprint()
	if s := entry.q.Suspicion(f); s != nil {
		n.q.Store([]*schema.Suspicion{s})
	}
	treatment, left := n.q.Treatment(f)
	if !n.up && treatment != quarantiner.Held {
		return true
	}
	isolated := treatment == quarantiner.Isolated
	if treatment == quarantiner.Held {
		p.hold(left, deadly)
		entry.q.Store([]*schema.Suspicion{n.q.Suspicion(f)})
	}
	if treatment == quarantiner.Held || isolated && n.turn {
		return false
	}
	n.turn = n.turn || isolated
	p.begun++
	work := minWork + time.Duration(p.random.Int64N(int64(maxWork-minWork)))
	n.runs = append(n.runs, &modelRun{quarantiner.Run{Request: r, Began: now.Add(time.Duration(p.begun)), Isolated: isolated}, now.Add(work)})
	if !deadly {
		return false
	}
	p.crashes[r.Target]++
	n.upAgain = now.Add(modelRestart)
	p.crash(n, now)
	if s := n.q.Suspicion(f); s != nil {
		entry.q.Store([]*schema.Suspicion{s})
	}
	return true
}

// mostCrashes returns the number of crashes of the deadly request with the most.
func (p *model) mostCrashes() int {
	most := 0
	for _, n := range p.crashes {
		most = max(most, n)
	}
	return most
}

// playDay plays a day and returns its model.
func playDay(t *testing.T, d day, m method, total time.Duration) *model {
	var p *model
	synctest.Test(t, func(*testing.T) {
		p = newModel(d, m)
		p.play(total)
	})
	return p
}

// flappingDay returns a day with flapping hosts that is drawn by its seed.
func flappingDay(seed uint64) day {
	random := rand.New(rand.NewPCG(seed, 36))
	return day{
		hosts: 4 + random.IntN(7), items: []int{1, 3, 20, 100, 1000}[random.IntN(5)],
		share: 0.1 + 0.4*random.Float64(), together: random.IntN(2) == 0,
		period: 300*time.Millisecond + time.Duration(random.Int64N(int64(4700*time.Millisecond))),
		length: 5*time.Second + time.Duration(random.Int64N(int64(55*time.Second))), seed: seed,
	}
}

// comparedSeeds is the number of seeds that are played with the other methods, too.
const comparedSeeds = 60

// modelSeeds is the number of seeds, with fewer in CI.
var modelSeeds = flag.Uint64("seeds", 20, "seeds of the model of flapping hosts and deadly requests")

// methods returns the methods with which a seed is played.
func methods(seed uint64) []method {
	if seed < comparedSeeds {
		return []method{byInstance, byEnds, byHosts}
	}
	return []method{byHosts}
}

// TestFlappingHosts guards against requests that are held because upstreams went down and up
// while they ran.
func TestFlappingHosts(t *testing.T) {
	longest := map[method]time.Duration{}
	over := map[method]int{}
	for seed := range *modelSeeds {
		d := flappingDay(seed)
		for _, m := range methods(seed) {
			p := playDay(t, d, m, d.length+15*time.Second)
			longest[m] = max(longest[m], p.longest)
			if p.longest > 5*time.Second {
				over[m]++
			}
			if m == byHosts && p.longest > 5*time.Second {
				t.Errorf("seed %d: an innocent request was held for %v: %+v", seed, p.longest, d)
			}
		}
	}
	for _, m := range methods(0) {
		t.Logf("%+v: longest hold %v, %d seeds over 5 s", m, longest[m], over[m])
	}
}

// TestDeadlyRequestsInFleet guards against a request that crashes more than three upstreams.
func TestDeadlyRequestsInFleet(t *testing.T) {
	most, over := map[method]int{}, map[method]int{}
	for seed := range *modelSeeds {
		random := rand.New(rand.NewPCG(seed, 37))
		d := day{hosts: 1 + random.IntN(10), items: 100, deadly: 1 + random.IntN(2), seed: seed}
		for _, m := range methods(seed) {
			p := playDay(t, d, m, 30*time.Second)
			most[m] = max(most[m], p.mostCrashes())
			if p.mostCrashes() > 3 {
				over[m]++
			}
			if m == byHosts && p.mostCrashes() > 3 {
				t.Errorf("seed %d: %d crashes by one request: %+v", seed, p.mostCrashes(), d)
			}
		}
	}
	for _, m := range methods(0) {
		t.Logf("%+v: at most %d crashes, %d seeds over 3", m, most[m], over[m])
	}
}
