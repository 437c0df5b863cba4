// Package watcher keeps a node in touch with the platform.
//
// Only a few nodes of each failure domain watch the state on the platform; the
// others take states and confirmations from them. A watch ends after the poll
// interval at the latest, so that each watch confirms the state. The first
// watcher of a domain also writes the domain's heartbeat, which names nodes
// that newcomers can join, and the assigner's decisions.
//
// # Usage
//
//	w := watcher.New(options)
//	go w.Run(ctx)
package watcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/editor"
	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/util/set"
)

const (
	// domainPrefix precedes the name of a domain in the name of its heartbeat.
	domainPrefix = "domain."
	// heartbeatInterval is the time between two heartbeats of a domain.
	heartbeatInterval = 10 * time.Second
	// heartbeatTimeout is the time without heartbeats after which a domain is lost.
	heartbeatTimeout = 35 * time.Second
	// minPause is the least time between two watches.
	minPause = 20 * time.Millisecond
	// joinInterval is the time between two searches for other nodes.
	joinInterval = 2 * time.Second
	// maxSeeds is the number of addresses in a heartbeat.
	maxSeeds = 8
)

// Confirmer holds the state.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	Version() uint64
	Apply(raw []byte) (bool, error)
	Confirm(version uint64, at time.Time)
}

// Fleet knows the other nodes.
type Fleet interface {
	View() *gossiper.View
	Join(addresses []string)
	Push()
}

// Assigner writes decisions about the fleet.
type Assigner interface {
	Step(ctx context.Context, state *schema.State, place int, lost set.Set[string]) error
}

// Logger reports what operators act on.
type Logger interface {
	Warn(msg any, keyvals ...any)
	Info(msg any, keyvals ...any)
}

// Options are the parts and settings of a watcher.
type Options struct {
	Store     storer.Store
	Confirmer Confirmer
	Fleet     Fleet
	Assigner  Assigner
	Logger    Logger
	Name      string
	Address   string
	Domain    string
	// Poll is the longest wait of one watch.
	Poll time.Duration
}

// Watcher keeps a node in touch with the platform.
type Watcher struct {
	Options
	known storer.Version
	// version is the state's own version at the known version of the object.
	version       uint64
	lastHeartbeat time.Time
	lastJoin      time.Time
	platformDown  bool
	heartbeats    map[string]*domainHeartbeat
}

// domainHeartbeat is what is known of another domain's heartbeat.
type domainHeartbeat struct {
	version storer.Version
	changed time.Time
	read    time.Time
}

// New returns a watcher.
func New(o Options) *Watcher {
	return &Watcher{Options: o, heartbeats: map[string]*domainHeartbeat{}}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := w.Poll
		if w.step(ctx) {
			// The next watch waits at the platform.
			pause = minPause
		}
		sleep(ctx, pause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step does what is due and tells whether the platform answered a watch.
func (w *Watcher) step(ctx context.Context) bool {
	view := w.Fleet.View()
	if view.LiveCount() == 1 || w.Confirmer.Snapshot() == nil {
		w.join(ctx)
	}
	rank, watches := view.WatcherIndex(w.Name)
	if !watches || !w.watch(ctx) {
		return false
	}
	if rank == 0 && time.Since(w.lastHeartbeat) >= heartbeatInterval {
		w.writeHeartbeat(ctx, view)
	}
	w.assign(ctx, view, rank)
	return true
}

// watch waits for a new state and tells whether the platform answered.
func (w *Watcher) watch(ctx context.Context) bool {
	sent := time.Now()
	object, err := w.Store.Watch(ctx, editor.Object, w.known, w.Poll)
	switch {
	case errors.Is(err, storer.ErrUnchanged):
		w.confirm(sent)
	case errors.Is(err, storer.ErrMissing):
		w.create(ctx)
	case err != nil:
		w.reportDown(err)
		return false
	default:
		w.apply(object, sent)
	}
	w.reportUp()
	return true
}

// confirm takes the platform's word that the object is unchanged, unless other
// nodes have shown a newer one: the answer is stale then. The platform compared
// at the end of the wait; its start is the safe bound for the age of the answer.
func (w *Watcher) confirm(sent time.Time) {
	if w.version == w.Confirmer.Version() {
		w.Confirmer.Confirm(w.version, sent)
	}
}

func (w *Watcher) apply(object storer.Object, sent time.Time) {
	state := &schema.State{}
	if err := proto.Unmarshal(object.Data, state); err != nil {
		w.Logger.Warn("the state on the platform can't be decoded", "err", err)
		return
	}
	if state.GetVersion() < w.Confirmer.Version() {
		// A stale read; it neither changes nor confirms anything.
		return
	}
	w.known, w.version = object.Version, state.GetVersion()
	applied, err := w.Confirmer.Apply(object.Data)
	if err != nil {
		w.Logger.Warn("the state on the platform is not valid", "err", err)
		return
	}
	w.Confirmer.Confirm(state.GetVersion(), sent)
	if applied {
		w.Fleet.Push()
	}
}

// create writes the first state.
func (w *Watcher) create(ctx context.Context) {
	data, err := proto.Marshal(&schema.State{Version: 1, Domains: []string{w.Domain}})
	if err == nil {
		_, err = w.Store.Write(ctx, editor.Object, data, storer.Absent)
	}
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		w.reportDown(err)
	}
}

func (w *Watcher) assign(ctx context.Context, view *gossiper.View, rank int) {
	snapshot := w.Confirmer.Snapshot()
	if snapshot == nil {
		return
	}
	place := slices.Index(view.Domains(), w.Domain) + rank*len(view.Domains())
	err := w.Assigner.Step(ctx, snapshot.State, place, w.lostDomains(ctx, snapshot, view))
	if err != nil {
		w.reportDown(err)
	}
}

// writeHeartbeat writes the heartbeat of the domain.
func (w *Watcher) writeHeartbeat(ctx context.Context, view *gossiper.View) {
	w.lastHeartbeat = time.Now()
	seeds := &schema.Seeds{}
	for _, m := range view.Members {
		if m.GetDomain() == w.Domain && gossiper.Live(m) && len(seeds.Addresses) < maxSeeds {
			seeds.Addresses = append(seeds.Addresses, m.GetAddress())
		}
	}
	if err := w.writeSeeds(ctx, seeds); err != nil {
		w.reportDown(err)
	}
}

func (w *Watcher) writeSeeds(ctx context.Context, seeds *schema.Seeds) error {
	name := domainPrefix + w.Domain
	object, err := w.Store.Read(ctx, name)
	if err != nil && !errors.Is(err, storer.ErrMissing) {
		return err
	}
	data, err := proto.Marshal(seeds)
	if err != nil {
		return err
	}
	_, err = w.Store.Write(ctx, name, data, object.Version)
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// join looks for other nodes by the heartbeats of all domains.
func (w *Watcher) join(ctx context.Context) {
	if time.Since(w.lastJoin) < joinInterval {
		return
	}
	w.lastJoin = time.Now()
	object, err := w.Store.Read(ctx, editor.Object)
	if err != nil {
		return
	}
	state := &schema.State{}
	if proto.Unmarshal(object.Data, state) != nil {
		return
	}
	var found []string
	for _, domain := range state.GetDomains() {
		seeds := w.seeds(ctx, domain)
		found = append(found, seeds...)
		if domain == w.Domain && !slices.Contains(seeds, w.Address) {
			w.addSeed(ctx, seeds)
		}
	}
	w.Fleet.Join(found)
}

// addSeed adds this node to the heartbeat of its domain, for other newcomers.
func (w *Watcher) addSeed(ctx context.Context, seeds []string) {
	if len(seeds) >= maxSeeds {
		seeds = seeds[1:]
	}
	_ = w.writeSeeds(ctx, &schema.Seeds{Addresses: append(slices.Clone(seeds), w.Address)})
}

func (w *Watcher) seeds(ctx context.Context, domain string) []string {
	object, err := w.Store.Read(ctx, domainPrefix+domain)
	if err != nil {
		return nil
	}
	seeds := &schema.Seeds{}
	if proto.Unmarshal(object.Data, seeds) != nil {
		return nil
	}
	return seeds.GetAddresses()
}

// lostDomains returns the domains that are not heard from and whose heartbeat
// has stopped.
func (w *Watcher) lostDomains(ctx context.Context, snapshot *resolver.Snapshot, view *gossiper.View) set.Set[string] {
	lost := set.Of[string]()
	reachable := set.Of(view.Domains()...)
	for _, domain := range snapshot.State.GetDomains() {
		if reachable.Has(domain) {
			delete(w.heartbeats, domain)
			continue
		}
		if w.heartbeatExpired(ctx, domain) {
			lost.Add(domain)
		}
	}
	return lost
}

// heartbeatExpired reads the heartbeat of a domain and tells whether it has stopped.
func (w *Watcher) heartbeatExpired(ctx context.Context, domain string) bool {
	now := time.Now()
	p := w.heartbeats[domain]
	if p == nil {
		p = &domainHeartbeat{changed: now}
		w.heartbeats[domain] = p
	}
	if now.Sub(p.read) >= heartbeatInterval/2 {
		p.read = now
		object, err := w.Store.Read(ctx, domainPrefix+domain)
		if err != nil && !errors.Is(err, storer.ErrMissing) {
			// Without the platform nothing is known; the wait starts again.
			p.changed = now
			return false
		}
		if object.Version != p.version {
			p.version, p.changed = object.Version, now
		}
	}
	return now.Sub(p.changed) > heartbeatTimeout
}

func (w *Watcher) reportDown(err error) {
	if !w.platformDown {
		w.Logger.Warn("the platform does not answer", "err", err)
	}
	w.platformDown = true
}

func (w *Watcher) reportUp() {
	if w.platformDown {
		w.Logger.Info("the platform answers again")
	}
	w.platformDown = false
}
