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
	freshness        = 5 * time.Second
	roundTrip        = 2 * time.Millisecond
	basePollInterval = 500 * time.Millisecond
	workspace        = "gloves"
)

var errLost = errors.New("message lost")

// host is one simulated node with its confirmer, limiter and lender.
type host struct {
	fleet       *fleet
	name        string
	incarnation uint64
	confirmer   *confirmer.Confirmer
	limiter     *limiter.Limiter
	lender      *lender.Lender
	cancel      context.CancelFunc

	// pollInterval is the time between two reads of the state on the platform.
	pollInterval time.Duration
	// isolated hosts receive neither new states nor confirmations.
	isolated atomic.Bool

	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
}

// currentIncarnation returns the incarnation of the host.
func (h *host) currentIncarnation() uint64 {
	_, incarnation := h.Identity()
	return incarnation
}

// isDead reports whether the host was killed.
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

// restartIfFenced takes a new incarnation once the current one is fenced.
func (h *host) restartIfFenced(c confirmer.Change) {
	name, incarnation := h.Identity()
	if !c.New.IsFenced(name, incarnation) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation += 1000
}

// waitWhileFrozen blocks until the host is no longer frozen.
func (h *host) waitWhileFrozen() {
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

// fleet is a set of hosts with a network that can lose messages.
type fleet struct {
	ctx   context.Context
	mu    sync.Mutex
	state *schema.State
	hosts map[string]*host
	rng   *rand.Rand
	// loss is the probability that a request is lost, and that an answer is.
	loss float64
	// slowUpdates makes some hosts receive states late, but before their state
	// ceases to be fresh.
	slowUpdates bool
	// confirmationsStopped stops states and confirmations from the platform.
	confirmationsStopped bool
	admitted             []time.Time
	calls                int
}

func newFleet(t *testing.T, seed uint64, rate, burst float64, slowUpdates bool, names ...string) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	f := &fleet{ctx: ctx, hosts: map[string]*host{}, rng: rand.New(rand.NewPCG(seed, 1))}
	f.state = &schema.State{Version: 1, Domains: []string{"a", "b"}}
	f.state.Config = &schema.Config{Workspaces: []*schema.Workspace{{Name: workspace, Rate: rate, Burst: burst}}}
	f.slowUpdates = slowUpdates
	for _, name := range names {
		f.startHost(name, 1)
	}
	f.updateState(func(s *schema.State) {
		for i := range uint32(limiter.Shards) {
			s.Shards = append(s.Shards, &schema.Shard{Index: i, Holder: names[0], Incarnation: 1, Term: 1})
		}
	})
	return f
}

// randomInt returns a random number below n.
func (f *fleet) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// startHost adds a host.
func (f *fleet) startHost(name string, incarnation uint64) *host {
	h := &host{fleet: f, name: name, incarnation: incarnation, pollInterval: basePollInterval}
	if f.slowUpdates {
		h.pollInterval = time.Duration(1+f.randomInt(8)) * basePollInterval
	}
	h.confirmer = confirmer.New("a", freshness)
	h.lender = lender.New(h, h.confirmer, freshness)
	h.limiter = limiter.New(h, h.confirmer, h)
	h.confirmer.OnChange(h.restartIfFenced)
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	h.cancel = cancel
	go h.limiter.Run(ctx)
	go h.pollPlatform(ctx)
	return h
}

// pollPlatform applies the platform's state and confirms it at each poll.
func (h *host) pollPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		h.waitWhileFrozen()
		h.fleet.mu.Lock()
		sent, silent := time.Now(), h.fleet.confirmationsStopped
		raw, _ := proto.Marshal(h.fleet.state)
		version := h.fleet.state.GetVersion()
		h.fleet.mu.Unlock()
		time.Sleep(roundTrip)
		h.waitWhileFrozen()
		if !silent && !h.isolated.Load() {
			_, _ = h.confirmer.Apply(raw)
			h.confirmer.Confirm(version, sent)
		}
		time.Sleep(h.pollInterval)
	}
}

// Borrow sends a report over the simulated network to the holder.
func (h *host) Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	h.waitWhileFrozen()
	f := h.fleet
	f.mu.Lock()
	f.calls++
	to, requestLost, answerLost := f.hosts[holder], f.rng.Float64() < f.loss, f.rng.Float64() < f.loss
	f.mu.Unlock()
	if holder != h.name {
		time.Sleep(roundTrip / 2)
	}
	if to == nil || to.isDead() {
		time.Sleep(20 * time.Millisecond)
		return nil, errLost
	}
	if requestLost {
		go to.receiveLate(proto.CloneOf(req), time.Duration(f.randomInt(3000))*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		return nil, errLost
	}
	to.waitWhileFrozen()
	resp, err := to.lender.Borrow(proto.CloneOf(req))
	if holder != h.name {
		time.Sleep(roundTrip / 2)
	}
	h.waitWhileFrozen()
	if answerLost || ctx.Err() != nil {
		return nil, errLost
	}
	return resp, err
}

// receiveLate delivers a delayed report.
func (h *host) receiveLate(req *schema.BorrowRequest, after time.Duration) {
	time.Sleep(after)
	h.waitWhileFrozen()
	_, _ = h.lender.Borrow(req)
}

// updateState changes the state on the platform.
func (f *fleet) updateState(change func(*schema.State)) {
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

// killHost stops a host without returning its loans.
func (f *fleet) killHost(name string) {
	h := f.host(name)
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.cancel()
}

// sendRequest sends one request to a host and records it if it is admitted.
func (f *fleet) sendRequest(name string) bool {
	h := f.host(name)
	h.waitWhileFrozen()
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

// outcome counts requests; ideal is the number that one central bucket without
// delay would have admitted.
type outcome struct {
	sent, admitted, ideal int
}

// inRateRefused returns the share of the ideal admissions that were refused.
func (o outcome) inRateRefused() float64 {
	return math.Max(0, float64(o.ideal-o.admitted)) / math.Max(1, float64(o.ideal))
}

// sendLoad sends Poisson arrivals for a duration. pickHost returns the host for
// the time since the start, and request sends one request to it.
func (f *fleet) sendLoad(rate, burst, demand float64, d time.Duration, pickHost func(time.Duration) string, request func(string) bool) outcome {
	var o outcome
	var group sync.WaitGroup
	var mu sync.Mutex
	ideal := limiter.Bucket{Rate: rate, Cap: burst, Tokens: burst, Updated: time.Now()}
	rng := rand.New(rand.NewPCG(7, uint64(demand)))
	started := time.Now()
	for time.Since(started) < d {
		time.Sleep(time.Duration(rng.ExpFloat64() / demand * float64(time.Second)))
		o.sent++
		if ideal.TryTake(time.Now()) {
			o.ideal++
		}
		name := pickHost(time.Since(started))
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

// sendSurges alternates, for a duration, between idle times in which the buckets
// fill and surges of requests to a few hosts.
func (f *fleet) sendSurges(hosts []string, d time.Duration) {
	rng := rand.New(rand.NewPCG(11, 13))
	started := time.Now()
	for time.Since(started) < d {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		first, width := rng.IntN(len(hosts)), 1+rng.IntN(len(hosts))
		for range 500 + rng.IntN(1000) {
			time.Sleep(time.Millisecond)
			name := hosts[(first+rng.IntN(width))%len(hosts)]
			go f.sendRequest(name)
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

// admittedCount returns the number of admissions.
func (f *fleet) admittedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.admitted)
}

// sendBurst sends count concurrent requests to each of the given hosts.
func (f *fleet) sendBurst(count int, hosts ...string) {
	var group sync.WaitGroup
	for _, name := range hosts {
		for range count {
			group.Go(func() { f.sendRequest(name) })
		}
	}
	group.Wait()
}

// clearAdmitted drops the recorded admissions.
func (f *fleet) clearAdmitted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = nil
}

// sendConstantLoad sends requests of a workspace to the hosts in turn, at a
// constant rate, until stop is closed.
func (f *fleet) sendConstantLoad(name string, demand float64, hosts []string, stop chan struct{}) {
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
