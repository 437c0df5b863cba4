// Package watcher reads the state of the fleet from the platform and keeps it
// confirmed as current.
//
// Only a few nodes of each failure domain watch the state on the platform; the
// others receive states and confirmations from them. A watch ends after the poll
// interval at the latest, so that the state is confirmed at least that often. The
// first watcher of a domain also writes the domain's heartbeat, which lists
// addresses of nodes that new nodes can join. Each watcher runs the assigner; the
// assigner delays the writes of all but the first watcher.
//
// A platform that comes back from a copy has lost states that it had accepted and that
// nodes have in force. A watcher that finds a state older than that of the fleet writes
// the latter again, on condition that the platform still holds the older one: a stale read
// changes nothing.
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
	// domainPrefix is the prefix of the name of a domain's heartbeat object.
	domainPrefix = "domain."
	// heartbeatInterval is the time between two heartbeats of a domain.
	heartbeatInterval = 10 * time.Second
	// heartbeatTimeout is the time without a new heartbeat after which a domain
	// counts as lost.
	heartbeatTimeout = 35 * time.Second
	// minPause is the minimum pause between two watches.
	minPause = 20 * time.Millisecond
	// joinInterval is the minimum time between two attempts to join the fleet.
	joinInterval = 2 * time.Second
	// maxSeeds is the maximum number of addresses in a heartbeat.
	maxSeeds = 8
)

// Confirmer holds the state of the fleet and its freshness.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	Version() uint64
	Apply(raw []byte) (bool, error)
	Confirm(version uint64, at time.Time)
}

// Fleet provides the member table, joins the fleet and propagates new states.
type Fleet interface {
	View() *gossiper.View
	Join(addresses []string)
	Push()
}

// Assigner assigns shards and fences failed instances.
type Assigner interface {
	Step(ctx context.Context, state *schema.State, position int, lost set.Set[string]) error
}

// Restorer writes a state again that the platform has lost.
type Restorer interface {
	Restore(ctx context.Context, state *schema.State, known storer.Version) (uint64, error)
}

// Logger logs events that operators act on.
type Logger interface {
	Warn(msg any, keyvals ...any)
	Info(msg any, keyvals ...any)
}

// Options are the parts and settings of a Watcher.
type Options struct {
	Store     storer.Store
	Confirmer Confirmer
	Fleet     Fleet
	Assigner  Assigner
	Restorer  Restorer
	Logger    Logger
	Name      string
	Address   string
	Domain    string
	// Poll is the maximum duration of one watch.
	Poll time.Duration
}

// Watcher watches the state on the platform and writes the heartbeat of its
// failure domain.
type Watcher struct {
	Options
	objectVersion storer.Version
	// stateVersion is the version recorded in the state itself as read at
	// objectVersion.
	stateVersion  uint64
	lastHeartbeat time.Time
	lastJoin      time.Time
	platformDown  bool
	heartbeats    map[string]*domainHeartbeat
}

// domainHeartbeat tracks the heartbeat of another domain.
type domainHeartbeat struct {
	objectVersion storer.Version
	changedAt     time.Time
	readAt        time.Time
}

// New returns a Watcher with the given options.
func New(o Options) *Watcher {
	return &Watcher{Options: o, heartbeats: map[string]*domainHeartbeat{}}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := w.Poll
		if w.step(ctx) {
			// The platform holds its answer to the next watch until the state
			// changes or the poll interval ends, so the pause can be short.
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

// step joins the fleet if necessary. On a watcher it then watches the state,
// writes the heartbeat if due and runs the assigner. It reports whether the
// platform answered a watch.
func (w *Watcher) step(ctx context.Context) bool {
	view := w.Fleet.View()
	if view.LiveCount() == 1 || w.Confirmer.Snapshot() == nil {
		w.join(ctx)
	}
	index, isWatcher := view.WatcherIndex(w.Name)
	if !isWatcher || !w.watch(ctx) {
		return false
	}
	if index == 0 && time.Since(w.lastHeartbeat) >= heartbeatInterval {
		w.writeHeartbeat(ctx, view)
	}
	w.assign(ctx, view, index)
	return true
}

// watch waits for a new state and reports whether the platform answered.
func (w *Watcher) watch(ctx context.Context) bool {
	sent := time.Now()
	object, err := w.Store.Watch(ctx, editor.Object, w.objectVersion, w.Poll)
	switch {
	case errors.Is(err, storer.ErrUnchanged):
		w.confirm(ctx, sent)
	case errors.Is(err, storer.ErrMissing):
		w.create(ctx)
	case err != nil:
		w.markPlatformDown(err)
		return false
	default:
		w.markPlatformUp()
		return w.apply(ctx, object, sent)
	}
	w.markPlatformUp()
	return true
}

// confirm confirms the state after the platform answered that the object is
// unchanged. If this node has meanwhile received a newer state from other nodes,
// the answer is stale and confirms nothing, or the platform has lost the newer state.
// The platform compares versions at the end of the wait; the start of the wait is a safe
// bound for the age of the answer.
func (w *Watcher) confirm(ctx context.Context, sent time.Time) {
	switch version := w.Confirmer.Version(); {
	case w.stateVersion == version:
		w.Confirmer.Confirm(w.stateVersion, sent)
	case w.stateVersion < version:
		w.restore(ctx, w.stateVersion, nil, w.objectVersion)
	}
}

// apply applies a state read from the platform. It returns false if the state is older
// than that of the fleet and could not be replaced, as after a stale read.
func (w *Watcher) apply(ctx context.Context, object storer.Object, sent time.Time) bool {
	state := &schema.State{}
	if err := proto.Unmarshal(object.Data, state); err != nil {
		w.Logger.Warn("cannot decode the state read from the platform", "err", err)
		return true
	}
	if w.isOlder(state) {
		return w.restore(ctx, state.GetVersion(), state.GetChanges(), object.Version)
	}
	w.objectVersion, w.stateVersion = object.Version, state.GetVersion()
	applied, err := w.Confirmer.Apply(object.Data)
	if err != nil {
		w.Logger.Warn("the state read from the platform is not valid", "err", err)
		return true
	}
	w.Confirmer.Confirm(state.GetVersion(), sent)
	if applied {
		w.Fleet.Push()
	}
	return true
}

// isOlder reports whether a state lacks writes that this node knows to be accepted. A
// state of the same version by another write was written after a restore.
func (w *Watcher) isOlder(state *schema.State) bool {
	snapshot := w.Confirmer.Snapshot()
	if snapshot == nil || state.GetVersion() > snapshot.Version() {
		return false
	}
	return state.GetVersion() < snapshot.Version() || lastWrite(state) != lastWrite(snapshot.State)
}

// lastWrite returns the ID of the write of a state.
func lastWrite(s *schema.State) string {
	if n := len(s.GetChanges()); n > 0 {
		return s.GetChanges()[n-1].GetId()
	}
	return ""
}

// restore writes the state of this node over an older one with the given version, changes
// and object version. It reports whether the state was written.
func (w *Watcher) restore(ctx context.Context, found uint64, changes []*schema.Change, known storer.Version) bool {
	// The heartbeat may be lost, too, and new nodes find the fleet by it.
	w.lastHeartbeat = time.Time{}
	state := w.Confirmer.Snapshot().State
	version, err := w.Restorer.Restore(ctx, state, known)
	if errors.Is(err, storer.ErrConflict) {
		return false
	}
	if err != nil {
		w.markPlatformDown(err)
		return false
	}
	w.Logger.Warn("the platform had lost accepted states; wrote the state of the fleet again",
		"found", found, "fleet", state.GetVersion(), "written", version, "overwritten", unknownChanges(changes, state))
	return true
}

// unknownChanges lists the changes that a state does not contain, which operators must
// make again. A state keeps only its recent changes.
func unknownChanges(changes []*schema.Change, state *schema.State) []string {
	known, oldest := set.Of[string](), state.GetVersion()
	for _, c := range state.GetChanges() {
		known.Add(c.GetId())
		oldest = min(oldest, c.GetVersion())
	}
	var unknown []string
	for _, c := range changes {
		if c.GetVersion() >= oldest && !known.Has(c.GetId()) {
			unknown = append(unknown, c.GetId()+" by "+c.GetAuthor())
		}
	}
	return unknown
}

// create writes the first state of a new fleet, or the state of a fleet whose platform has
// lost it.
func (w *Watcher) create(ctx context.Context) {
	if w.Confirmer.Snapshot() != nil {
		w.restore(ctx, 0, nil, storer.Absent)
		return
	}
	data, err := proto.Marshal(&schema.State{Version: 1, Domains: []string{w.Domain}})
	if err == nil {
		_, err = w.Store.Write(ctx, editor.Object, data, storer.Absent)
	}
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		w.markPlatformDown(err)
	}
}

func (w *Watcher) assign(ctx context.Context, view *gossiper.View, index int) {
	snapshot := w.Confirmer.Snapshot()
	if snapshot == nil {
		return
	}
	position := slices.Index(view.Domains(), w.Domain) + index*len(view.Domains())
	err := w.Assigner.Step(ctx, snapshot.State, position, w.lostDomains(ctx, snapshot, view))
	if err != nil {
		w.markPlatformDown(err)
	}
}

// writeHeartbeat writes the heartbeat of this node's domain with the addresses of
// live nodes.
func (w *Watcher) writeHeartbeat(ctx context.Context, view *gossiper.View) {
	w.lastHeartbeat = time.Now()
	seeds := &schema.Seeds{}
	for _, m := range view.Members {
		if m.GetDomain() == w.Domain && gossiper.Live(m) && len(seeds.Addresses) < maxSeeds {
			seeds.Addresses = append(seeds.Addresses, m.GetAddress())
		}
	}
	if err := w.writeSeeds(ctx, seeds); err != nil {
		w.markPlatformDown(err)
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

// join joins the nodes that the heartbeats of all domains list, at most once per
// joinInterval.
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
		seeds := w.readSeeds(ctx, domain)
		found = append(found, seeds...)
		if domain == w.Domain && !slices.Contains(seeds, w.Address) {
			w.addSeed(ctx, seeds)
		}
	}
	w.Fleet.Join(found)
}

// addSeed adds this node to the heartbeat of its domain, so that other new nodes
// find it. If the heartbeat is full, its first address is dropped.
func (w *Watcher) addSeed(ctx context.Context, seeds []string) {
	if len(seeds) >= maxSeeds {
		seeds = seeds[1:]
	}
	_ = w.writeSeeds(ctx, &schema.Seeds{Addresses: append(slices.Clone(seeds), w.Address)})
}

func (w *Watcher) readSeeds(ctx context.Context, domain string) []string {
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

// lostDomains returns the domains that have no live nodes in the member table and
// whose heartbeat has stopped.
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

// heartbeatExpired reads the heartbeat of a domain, at most twice per
// heartbeatInterval, and reports whether it has stopped.
func (w *Watcher) heartbeatExpired(ctx context.Context, domain string) bool {
	now := time.Now()
	heartbeat := w.heartbeats[domain]
	if heartbeat == nil {
		heartbeat = &domainHeartbeat{changedAt: now}
		w.heartbeats[domain] = heartbeat
	}
	if now.Sub(heartbeat.readAt) >= heartbeatInterval/2 {
		heartbeat.readAt = now
		object, err := w.Store.Read(ctx, domainPrefix+domain)
		if err != nil && !errors.Is(err, storer.ErrMissing) {
			// A failed read says nothing about the domain, so the timeout starts
			// again.
			heartbeat.changedAt = now
			return false
		}
		if object.Version != heartbeat.objectVersion {
			heartbeat.objectVersion, heartbeat.changedAt = object.Version, now
		}
	}
	return now.Sub(heartbeat.changedAt) > heartbeatTimeout
}

func (w *Watcher) markPlatformDown(err error) {
	if !w.platformDown {
		w.Logger.Warn("request to the platform failed", "err", err)
	}
	w.platformDown = true
}

func (w *Watcher) markPlatformUp() {
	if w.platformDown {
		w.Logger.Info("the platform is reachable again")
	}
	w.platformDown = false
}
