package attacher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/confirmer"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
)

var watchSeeds = flag.Uint64("watch.seeds", 3, "seeds of each case of the model of the watchers")

// configBound is the time within which nodes in touch must have a new version.
const configBound = 2 * time.Second

// fault is what keeps a node of the model from the platform.
type fault int32

const (
	faultNone fault = iota
	// faultSilent loses all answers of the platform, faultRefused ends all calls at once.
	faultSilent
	faultRefused
	// faultFrozen stops the node, which sends no beacons either.
	faultFrozen
)

// watchModel is a fleet of configWatchers with a platform whose recent data are
// maxStaleness old, and beacons every beaconInterval that arrive after transit.
type watchModel struct {
	nodes []*modelNode
	view  atomic.Pointer[gossiper.View]

	mu sync.Mutex
	// version is the latest one, written at changedAt.
	version   uint64
	changedAt time.Time
	// changed is closed at each change of the version or of a fault.
	changed        chan struct{}
	latest, recent int
}

const transit = 5 * time.Millisecond

// modelNode is a node of the model; it is its own Source and peers.
type modelNode struct {
	model   *watchModel
	member  *schema.Member
	state   *confirmer.Confirmer
	watcher *configWatcher
	fault   atomic.Int32
	// frozenAt is when the node was frozen; only the goroutine of the test uses it.
	frozenAt time.Time
}

func newWatchModel(nodes, domains int) *watchModel {
	m := &watchModel{version: 3, changedAt: time.Now().Add(-time.Minute), changed: make(chan struct{})}
	for i := range nodes {
		n := &modelNode{
			model:  m,
			member: &schema.Member{Name: fmt.Sprint("node-", i), Address: strconv.Itoa(i), Domain: fmt.Sprint("d", i%domains), Status: schema.Status_STATUS_ALIVE},
			state:  confirmer.New("d", configMaxAge),
		}
		n.watcher = newConfigWatcher(n, n.state, reporter.New(io.Discard, n.member.Name, log.InfoLevel), n, n.member.Name, m.view.Load)
		n.watcher.role.announce = func() { time.AfterFunc(transit, m.deliver) }
		m.nodes = append(m.nodes, n)
	}
	m.deliver()
	return m
}

// run sends beacons until the context ends.
func (m *watchModel) run(ctx context.Context) {
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.deliver()
		}
	}
}

// deliver makes all nodes receive the beacons of all others.
func (m *watchModel) deliver() {
	members := map[string]*schema.Member{}
	var newest *modelNode
	for _, n := range m.nodes {
		member := proto.CloneOf(n.member)
		member.Blind = n.watcher.role.isBlind()
		if n.isFrozen() {
			member.Blind = m.view.Load().Members[member.Name].GetBlind()
			m.mu.Lock()
			silent := time.Since(n.frozenAt) > silentTime
			m.mu.Unlock()
			if silent {
				member.Status = schema.Status_STATUS_FAILED
			}
		} else if newest == nil || n.state.Version() > newest.state.Version() {
			newest = n
		}
		members[member.Name] = member
	}
	m.view.Store(gossiper.NewView(members))
	for _, n := range m.nodes {
		if newest != nil && !n.isFrozen() {
			n.watcher.BeaconReceived(newest.member, &schema.Beacon{Version: newest.state.Version()})
		}
	}
}

// silentTime is the time after which a node that sends no beacons is silent.
const silentTime = time.Second

func (m *watchModel) change(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *watchModel) setFault(n *modelNode, f fault) {
	m.change(func() {
		n.fault.Store(int32(f))
		n.frozenAt = time.Now()
	})
}

// put writes a version.
func (m *watchModel) put() {
	m.change(func() { m.version, m.changedAt = m.version+1, time.Now() })
}

// calls returns the numbers of calls since the last time.
func (m *watchModel) calls() (latest, recent int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, recent = m.latest, m.recent
	m.latest, m.recent = 0, 0
	return latest, recent
}

// lagging returns the number of nodes without a fault that don't have the latest version.
func (m *watchModel) lagging() int {
	lagging := 0
	for _, n := range m.nodes {
		if fault(n.fault.Load()) == faultNone && n.state.Version() < m.version {
			lagging++
		}
	}
	return lagging
}

func encodeVersion(version uint64) []byte {
	raw, err := proto.Marshal(&schema.State{Version: version, Config: &schema.Config{Version: version}})
	if err != nil {
		panic(err)
	}
	return raw
}

func (n *modelNode) isFrozen() bool { return fault(n.fault.Load()) == faultFrozen }

func (n *modelNode) NotifyPeers() { time.AfterFunc(transit, n.model.deliver) }

func (n *modelNode) Fetch(address string) {
	i, _ := strconv.Atoi(address)
	version := n.model.nodes[i].state.Version()
	time.AfterFunc(transit, func() {
		if !n.isFrozen() {
			_, _ = n.state.Apply(encodeVersion(version))
		}
	})
}

func (n *modelNode) Read(ctx context.Context, f Freshness) (storer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	return n.answer(ctx, 0, time.Now(), f)
}

func (n *modelNode) Watch(ctx context.Context, known storer.Version, wait time.Duration, f Freshness) (storer.Object, error) {
	version, err := strconv.ParseUint(string(known), 10, 64)
	if err != nil {
		return storer.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+350*time.Millisecond)
	defer cancel()
	return n.answer(ctx, version, time.Now().Add(wait), f)
}

// answer returns the version that the platform shows when it is newer than the known one, or
// at a time.
func (n *modelNode) answer(ctx context.Context, known uint64, until time.Time, f Freshness) (storer.Object, error) {
	m := n.model
	m.mu.Lock()
	if f == Latest {
		m.latest++
	} else {
		m.recent++
	}
	m.mu.Unlock()
	for {
		m.mu.Lock()
		version, changed, next := m.version, m.changed, until
		if visible := m.changedAt.Add(maxStaleness); f == Recent && time.Now().Before(visible) {
			version--
			if visible.Before(next) {
				next = visible
			}
		}
		m.mu.Unlock()
		current := fault(n.fault.Load())
		ended := !time.Now().Before(until)
		object := storer.Object{Data: encodeVersion(version), Version: storer.Version(strconv.FormatUint(max(version, known), 10))}
		switch {
		case current == faultRefused:
			return storer.Object{}, errors.New("refused")
		case current == faultNone && version > known:
			return object, nil
		case current == faultNone && ended:
			return object, storer.ErrUnchanged
		}
		done := ctx.Done()
		if current == faultFrozen {
			done = nil
		}
		timer := time.NewTimer(time.Until(next))
		if ended {
			timer.Stop()
		}
		select {
		case <-done:
			timer.Stop()
			return storer.Object{}, ctx.Err()
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// playWatchModel runs a fleet, and then a play against it.
func playWatchModel(t *testing.T, nodes, domains int, play func(m *watchModel)) {
	synctest.Test(t, func(*testing.T) {
		m := newWatchModel(nodes, domains)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		// All calls that wait without a deadline end.
		defer func() {
			for _, n := range m.nodes {
				m.setFault(n, faultNone)
			}
		}()
		group.Go(func() { m.run(ctx) })
		for _, n := range m.nodes {
			group.Go(func() { n.watcher.run(ctx) })
		}
		time.Sleep(30 * time.Second)
		play(m)
	})
}

// chosen returns the nodes that a fault hits.
var chosen = map[string]func(m *watchModel, random *rand.Rand) []*modelNode{
	"the watchers of a domain": func(m *watchModel, random *rand.Rand) []*modelNode {
		domain := m.nodes[random.IntN(len(m.nodes))].member.GetDomain()
		return m.pick(func(n *modelNode) bool {
			_, watcher := m.view.Load().WatcherIndex(n.member.GetName())
			return watcher && n.member.GetDomain() == domain
		})
	},
	"all watchers": func(m *watchModel, _ *rand.Rand) []*modelNode {
		return m.pick(func(n *modelNode) bool {
			_, watcher := m.view.Load().WatcherIndex(n.member.GetName())
			return watcher
		})
	},
	"a third": func(m *watchModel, random *rand.Rand) []*modelNode {
		return m.pick(func(*modelNode) bool { return random.Float64() < 0.35 })
	},
	"all but one of each domain": func(m *watchModel, random *rand.Rand) []*modelNode {
		spared := map[string]bool{}
		for _, i := range random.Perm(len(m.nodes)) {
			n := m.nodes[i]
			if domain := n.member.GetDomain(); !spared[domain] {
				spared[domain], spared[n.member.GetName()] = true, true
			}
		}
		return m.pick(func(n *modelNode) bool { return !spared[n.member.GetName()] })
	},
}

func (m *watchModel) pick(hit func(n *modelNode) bool) []*modelNode {
	var list []*modelNode
	for _, n := range m.nodes {
		if hit(n) {
			list = append(list, n)
		}
	}
	return list
}

// TestVersionReachesAllInTouch guards against nodes that rely on watchers which don't reach
// the platform: while those beacon, the others would learn of a version only from recent
// data, maxStaleness after the acknowledgement. Faults begin at most 3 s before the version
// is written.
func TestVersionReachesAllInTouch(t *testing.T) {
	sizes := map[string]struct{ nodes, domains int }{"4 nodes": {4, 1}, "6 nodes": {6, 1}, "7 nodes": {7, 5}, "84 nodes": {84, 6}}
	faults := map[string]fault{"silent": faultSilent, "refused": faultRefused, "frozen": faultFrozen}
	for size, s := range sizes {
		for who, choose := range chosen {
			for kind, f := range faults {
				if f == faultFrozen && who == "all but one of each domain" {
					// No node reaches half of the fleet: each watches by itself.
					continue
				}
				t.Run(fmt.Sprint(size, ", ", who, ", ", kind), func(t *testing.T) {
					g := NewWithT(t)
					worst, latest, recent := time.Duration(0), 0, 0
					for seed := range *watchSeeds {
						random := rand.New(rand.NewPCG(seed, 1))
						playWatchModel(t, s.nodes, s.domains, func(m *watchModel) {
							time.Sleep(rand.N(time.Second))
							m.calls()
							for _, n := range choose(m, random) {
								m.setFault(n, f)
							}
							time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
							m.put()
							began := time.Now()
							for m.lagging() > 0 && time.Since(began) < 2*maxStaleness {
								time.Sleep(10 * time.Millisecond)
							}
							worst = max(worst, time.Since(began))
							l, r := m.calls()
							latest, recent = max(latest, l), max(recent, r)
						})
					}
					t.Logf("longest %v, most calls for latest data %d, for recent data %d", worst, latest, recent)
					g.Expect(worst).To(BeNumerically("<", configBound))
				})
			}
		}
	}
}

// TestWatchReturns guards against a fleet in which nodes keep the watch that they took over
// for others: calls would stay at their price.
func TestWatchReturns(t *testing.T) {
	g := NewWithT(t)
	playWatchModel(t, 84, 6, func(m *watchModel) {
		before := m.view.Load()
		for _, n := range chosen["all watchers"](m, nil) {
			m.setFault(n, faultSilent)
		}
		time.Sleep(8 * time.Second)
		for _, n := range m.nodes {
			m.setFault(n, faultNone)
		}
		time.Sleep(30 * time.Second)
		for _, domain := range before.Domains() {
			g.Expect(m.view.Load().BlindCount(domain)).To(BeZero())
			g.Expect(m.view.Load().Watchers(domain)).To(HaveLen(len(before.Watchers(domain))))
		}
		watching := 0
		for _, n := range m.nodes {
			if n.watcher.watchFreshness() == Latest {
				watching++
			}
		}
		g.Expect(watching).To(Equal(12))
	})
}

// TestCalmCalls guards against calls that grow with the number of nodes.
func TestCalmCalls(t *testing.T) {
	for nodes, domains := range map[int]int{4: 1, 84: 6} {
		g := NewWithT(t)
		playWatchModel(t, nodes, domains, func(m *watchModel) {
			m.calls()
			time.Sleep(time.Minute)
			latest, recent := m.calls()
			t.Logf("%d nodes: %d calls for latest data in a minute, %d for recent data", nodes, latest, recent)
			g.Expect(latest).To(BeNumerically("<", 330), "four a second")
		})
	}
}

// TestOutageCausesNoStorm guards against a fleet in which all nodes watch the latest data
// when the platform is back, since each of them is the first to see it. Each node checks
// once for what it has missed.
func TestOutageCausesNoStorm(t *testing.T) {
	for name, f := range map[string]fault{"silent": faultSilent, "refused": faultRefused} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			playWatchModel(t, 84, 6, func(m *watchModel) {
				for _, n := range m.nodes {
					m.setFault(n, f)
				}
				time.Sleep(30 * time.Second)
				outageLatest, outageRecent := m.calls()
				for _, n := range m.nodes {
					m.setFault(n, faultNone)
				}
				time.Sleep(5 * time.Second)
				latest, recent := m.calls()
				t.Logf("calls for latest data in 5 s %d, for recent data %d; in the outage %d, %d", latest, recent, outageLatest, outageRecent)
				g.Expect(latest).To(BeNumerically("<", 84+60), "one of each node, and those of the watchers")
			})
		})
	}
}
