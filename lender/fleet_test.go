package lender_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/confirmer"
	"quetzalhub/lender"
	"quetzalhub/limiter"
	"quetzalhub/schema"
)

const (
	freshness = 5 * time.Second
	roundTrip = 2 * time.Millisecond
	lookPause = 500 * time.Millisecond
	workspace = "gloves"
)

var errLost = errors.New("message lost")

// host is one node's part in sharing rates.
type host struct {
	fleet       *fleet
	name        string
	incarnation uint64
	confirmer   *confirmer.Confirmer
	limiter     *limiter.Limiter
	lender      *lender.Lender
	cancel      context.CancelFunc

	// pause is the time between two looks at the platform.
	pause time.Duration
	// deaf hosts learn of no new state and get no confirmations.
	deaf atomic.Bool

	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
}

// start returns the incarnation.
func (h *host) start() uint64 {
	_, incarnation := h.Identity()
	return incarnation
}

// isDead tells whether the host was killed.
func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

func (h *host) Identity() (string, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name, h.incarnation
}

// reincarnate goes on as a new start once this one is fenced.
func (h *host) reincarnate(c confirmer.Change) {
	name, incarnation := h.Identity()
	if !c.New.Fenced(name, incarnation) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation += 1000
}

// thaw waits while the host is frozen.
func (h *host) thaw() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (h *host) setFrozen(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on {
		h.frozen = make(chan struct{})
		return
	}
	close(h.frozen)
	h.frozen = nil
}

// fleet is a number of hosts with a network that can lose messages.
type fleet struct {
	ctx   context.Context
	mu    sync.Mutex
	state *schema.State
	hosts map[string]*host
	rng   *rand.Rand
	// loss is the share of lost requests and of lost answers.
	loss float64
	// laggards makes some hosts learn of states late, though while fresh.
	laggards bool
	// unconfirmed stops confirmations by the platform.
	unconfirmed bool
	admitted    []time.Time
	calls       int
}

func newFleet(t *testing.T, seed uint64, rate, burst float64, laggards bool, names ...string) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	f := &fleet{ctx: ctx, hosts: map[string]*host{}, rng: rand.New(rand.NewPCG(seed, 1))}
	f.state = &schema.State{Version: 1, Domains: []string{"a", "b"}}
	f.state.Config = &schema.Config{Workspaces: []*schema.Workspace{{Name: workspace, Rate: rate, Burst: burst}}}
	f.laggards = laggards
	for _, name := range names {
		f.start(name, 1)
	}
	f.write(func(s *schema.State) {
		for i := range uint32(limiter.Shards) {
			s.Shards = append(s.Shards, &schema.Shard{Index: i, Holder: names[0], Incarnation: 1, Term: 1})
		}
	})
	return f
}

// draw returns a random number below n.
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// start adds a host with the present state.
func (f *fleet) start(name string, incarnation uint64) *host {
	h := &host{fleet: f, name: name, incarnation: incarnation, pause: lookPause}
	if f.laggards {
		h.pause = time.Duration(1+f.draw(8)) * lookPause
	}
	h.confirmer = confirmer.New("a", freshness)
	h.lender = lender.New(h, h.confirmer, freshness)
	h.limiter = limiter.New(h, h.confirmer, h)
	h.confirmer.OnChange(h.reincarnate)
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	h.cancel = cancel
	go h.limiter.Run(ctx)
	go h.follow(ctx)
	return h
}

// follow gives the host states and confirmations as the platform would.
func (h *host) follow(ctx context.Context) {
	for ctx.Err() == nil {
		h.thaw()
		h.fleet.mu.Lock()
		sent, silent := time.Now(), h.fleet.unconfirmed
		raw, _ := proto.Marshal(h.fleet.state)
		version := h.fleet.state.GetVersion()
		h.fleet.mu.Unlock()
		time.Sleep(roundTrip)
		h.thaw()
		if !silent && !h.deaf.Load() {
			_, _ = h.confirmer.Apply(raw)
			h.confirmer.Confirm(version, sent)
		}
		time.Sleep(h.pause)
	}
}

// Borrow carries a report over the network to the holder.
func (h *host) Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	h.thaw()
	f := h.fleet
	f.mu.Lock()
	f.calls++
	to, lostWay, lostBack := f.hosts[holder], f.rng.Float64() < f.loss, f.rng.Float64() < f.loss
	f.mu.Unlock()
	if holder != h.name {
		time.Sleep(roundTrip / 2)
	}
	if to == nil || to.isDead() {
		time.Sleep(20 * time.Millisecond)
		return nil, errLost
	}
	if lostWay {
		go to.receiveLate(proto.CloneOf(req), time.Duration(f.draw(3000))*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		return nil, errLost
	}
	to.thaw()
	resp, err := to.lender.Borrow(proto.CloneOf(req))
	if holder != h.name {
		time.Sleep(roundTrip / 2)
	}
	h.thaw()
	if lostBack || ctx.Err() != nil {
		return nil, errLost
	}
	return resp, err
}

// receiveLate hands over a report that was held up on its way.
func (h *host) receiveLate(req *schema.BorrowRequest, after time.Duration) {
	time.Sleep(after)
	h.thaw()
	_, _ = h.lender.Borrow(req)
}

// write changes the state on the platform.
func (f *fleet) write(change func(*schema.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := proto.CloneOf(f.state)
	next.Version++
	change(next)
	f.state = next
}

func (f *fleet) host(name string) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

// kill ends a host without notice.
func (f *fleet) kill(name string) {
	h := f.host(name)
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.cancel()
}

// request admits one request at a host and records it.
func (f *fleet) request(name string) bool {
	h := f.host(name)
	h.thaw()
	if h.isDead() {
		return false
	}
	if err := h.limiter.Admit(f.ctx, workspace, 0); err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = append(f.admitted, time.Now())
	return true
}

// outcome counts requests.
type outcome struct {
	sent, admitted, ideal int
}

// inRateRefused is the share of the requests that one central bucket without
// delay would have admitted beyond those admitted.
func (o outcome) inRateRefused() float64 {
	return math.Max(0, float64(o.ideal-o.admitted)) / math.Max(1, float64(o.ideal))
}

// load sends requests at random times for a duration; pick names the host for
// the time since the start and request admits there.
func (f *fleet) load(rate, burst, demand float64, d time.Duration, pick func(time.Duration) string, request func(string) bool) outcome {
	var o outcome
	var group sync.WaitGroup
	var mu sync.Mutex
	ideal := limiter.Bucket{Rate: rate, Cap: burst, Tokens: burst, Updated: time.Now()}
	rng := rand.New(rand.NewPCG(7, uint64(demand)))
	started := time.Now()
	for time.Since(started) < d {
		time.Sleep(time.Duration(rng.ExpFloat64() / demand * float64(time.Second)))
		o.sent++
		if ideal.Take(time.Now()) {
			o.ideal++
		}
		name := pick(time.Since(started))
		group.Go(func() {
			if request(name) {
				mu.Lock()
				o.admitted++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return o
}

// surges leaves the hosts idle for a while, so that their buckets fill, then
// floods a few of them, again and again for a duration.
func (f *fleet) surges(hosts []string, d time.Duration) {
	rng := rand.New(rand.NewPCG(11, 13))
	started := time.Now()
	for time.Since(started) < d {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		first, width := rng.IntN(len(hosts)), 1+rng.IntN(len(hosts))
		for range 500 + rng.IntN(1000) {
			time.Sleep(time.Millisecond)
			name := hosts[(first+rng.IntN(width))%len(hosts)]
			go f.request(name)
		}
	}
}

// worstExcess returns the largest number of admissions in any window beyond
// rate x window + burst.
func (f *fleet) worstExcess(rate, burst float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := append([]time.Time(nil), f.admitted...)
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	// The excess over a window from i to j is (j+1-rate*tj) - (i-rate*ti) - burst.
	worst, least := math.Inf(-1), math.Inf(1)
	for i, at := range times {
		x := rate * at.Sub(times[0]).Seconds()
		least = math.Min(least, float64(i)-x)
		worst = math.Max(worst, float64(i+1)-x-least-burst)
	}
	return worst
}

// count returns the number of admissions.
func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.admitted)
}

// burst sends a number of requests to each of some hosts at once.
func (f *fleet) burst(count int, hosts ...string) {
	var group sync.WaitGroup
	for _, name := range hosts {
		for range count {
			group.Go(func() { f.request(name) })
		}
	}
	group.Wait()
}

// forget drops the history of admissions.
func (f *fleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = nil
}

// flood sends requests of a workspace to all hosts in turn until told to stop.
func (f *fleet) flood(name string, demand float64, hosts []string, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / demand)):
		}
		h := f.host(hosts[i%len(hosts)])
		go func() { _ = h.limiter.Admit(f.ctx, name, 0) }()
	}
}
