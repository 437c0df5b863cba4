// Package assigner assigns shards to nodes, fences failed instances so that they
// lose their loans, and writes both to the state.
//
// Every watcher of the platform derives the same decisions from the member
// table. The first one writes them; each of the others writes only if those
// before it have not done so within a delay. A watcher treats a node as failed
// only in failure domains that it can reach, and only while more nodes of these
// are live than failed, so that a host that is partitioned from the fleet fences
// nobody. A domain that it can't reach at all counts as lost only once its
// heartbeat on the platform has stopped too, so that regions that are merely
// partitioned from each other keep their shards and loans.
//
// # Usage
//
//	a := assigner.New(editor, directory)
//	a.Step(ctx, state, position, lost)
package assigner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalhub/editor"
	"quetzalhub/gossiper"
	"quetzalhub/limiter"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	// fenceRetention is the time for which fences are kept in the state. It is
	// longer than the member table keeps failed nodes, so that each is fenced
	// only once.
	fenceRetention = 3 * time.Hour
	// memberSyncPeriod is the time after a node's start from which its member
	// table lists all other nodes.
	memberSyncPeriod = time.Minute
	// writerDelay is the time for which a watcher waits for each watcher before
	// it to write a decision.
	writerDelay = 3 * time.Second
)

// Directory provides the member table.
type Directory interface {
	View() *gossiper.View
}

// Editor changes the state on the platform.
type Editor interface {
	Edit(ctx context.Context, change func(*schema.State) error) (uint64, error)
}

// Assigner writes the assignments of shards and the fences of failed instances.
type Assigner struct {
	editor    Editor
	directory Directory
	// pendingSince is the time since which a change is to be written, or zero.
	pendingSince time.Time
	started      time.Time
}

// New returns an Assigner that reads the fleet from d and writes through e.
func New(e Editor, d Directory) *Assigner {
	return &Assigner{editor: e, directory: d, started: time.Now()}
}

// Step writes the changes that the state needs, once the delay of this node has
// passed. The delay grows with position, the index of this node among all
// watchers; lost names the failure domains whose heartbeat has stopped.
func (a *Assigner) Step(ctx context.Context, state *schema.State, position int, lost set.Set[string]) error {
	if !a.reconcile(cloneAssignments(state), lost) {
		a.pendingSince = time.Time{}
		return nil
	}
	if a.pendingSince.IsZero() {
		a.pendingSince = time.Now()
	}
	if time.Since(a.pendingSince) < time.Duration(position)*writerDelay {
		return nil
	}
	_, err := a.editor.Edit(ctx, func(s *schema.State) error {
		// An older state than that of the fleet is about to be replaced.
		if s.GetVersion() < state.GetVersion() || !a.reconcile(s, lost) {
			return editor.ErrNoChange
		}
		return nil
	})
	if err == editor.ErrNoChange {
		return nil
	}
	return err
}

// cloneAssignments copies the parts of a state that reconcile changes.
func cloneAssignments(s *schema.State) *schema.State {
	clone := &schema.State{Version: s.GetVersion(), Domains: append([]string(nil), s.GetDomains()...)}
	clone.Fences = append(clone.Fences, s.GetFences()...)
	for _, shard := range s.GetShards() {
		clone.Shards = append(clone.Shards, &schema.Shard{
			Index: shard.GetIndex(), Holder: shard.GetHolder(), Incarnation: shard.GetIncarnation(),
			Term: shard.GetTerm(), Carried: shard.GetCarried(),
		})
	}
	return clone
}

// reconcile changes a state to match the fleet and reports whether it did.
func (a *Assigner) reconcile(s *schema.State, lost set.Set[string]) bool {
	view := a.directory.View()
	changed := addDomains(s, view)
	if !a.seesMajority(view) {
		return changed
	}
	failed := a.failedInstances(view, lost)
	fenced := addFences(s, failed, time.Now())
	pruned := pruneFences(s, time.Now())
	assigned := a.assignShards(s, view, failed)
	return changed || fenced || pruned || assigned
}

// seesMajority reports whether more nodes are live than failed in the failure
// domains that this node can reach.
func (a *Assigner) seesMajority(view *gossiper.View) bool {
	reachable := set.Of(view.Domains()...)
	live, missing := 0, 0
	for _, m := range view.Members {
		switch {
		case !reachable.Has(m.GetDomain()):
		case gossiper.Live(m):
			live++
		case m.GetStatus() == schema.Status_STATUS_FAILED:
			missing++
		}
	}
	return live > missing
}

// failedInstances returns the replaced instances, and the failed ones in failure
// domains that are reachable or lost.
func (a *Assigner) failedInstances(view *gossiper.View, lost set.Set[string]) set.Set[gossiper.Instance] {
	domains := set.Of(view.Domains()...)
	for domain := range lost {
		domains.Add(domain)
	}
	failed := set.Of(view.Replaced...)
	for _, m := range view.Members {
		if m.GetStatus() == schema.Status_STATUS_FAILED && domains.Has(m.GetDomain()) {
			failed.Add(gossiper.Instance{Name: m.GetName(), Incarnation: m.GetIncarnation()})
		}
	}
	return failed
}

func addDomains(s *schema.State, view *gossiper.View) bool {
	known := set.Of(s.GetDomains()...)
	changed := false
	for _, domain := range view.Domains() {
		if !known.Has(domain) {
			s.Domains = append(s.Domains, domain)
			changed = true
		}
	}
	return changed
}

func addFences(s *schema.State, failed set.Set[gossiper.Instance], now time.Time) bool {
	fenced := set.Of[gossiper.Instance]()
	for _, f := range s.GetFences() {
		fenced.Add(gossiper.Instance{Name: f.GetName(), Incarnation: f.GetIncarnation()})
	}
	changed := false
	for instance := range failed {
		if fenced.Has(instance) {
			continue
		}
		s.Fences = append(s.Fences, &schema.Fence{
			Name: instance.Name, Incarnation: instance.Incarnation, Created: timestamppb.New(now),
		})
		changed = true
	}
	return changed
}

func pruneFences(s *schema.State, now time.Time) bool {
	retained := s.Fences[:0:0]
	for _, f := range s.GetFences() {
		if now.Sub(f.GetCreated().AsTime()) < fenceRetention {
			retained = append(retained, f)
		}
	}
	changed := len(retained) != len(s.Fences)
	s.Fences = retained
	return changed
}

func (a *Assigner) assignShards(s *schema.State, view *gossiper.View, failed set.Set[gossiper.Instance]) bool {
	held := map[uint32]*schema.Shard{}
	for _, shard := range s.GetShards() {
		held[shard.GetIndex()] = shard
	}
	changed := false
	for index := range uint32(limiter.Shards) {
		shard := held[index]
		if shard != nil && !a.holderGone(shard, view, failed) {
			continue
		}
		holder := ChooseHolder(view, index, "")
		if holder == nil {
			continue
		}
		if shard == nil {
			shard = &schema.Shard{Index: index}
			s.Shards = append(s.Shards, shard)
		}
		shard.Holder, shard.Incarnation = holder.GetName(), holder.GetIncarnation()
		shard.Term++
		shard.Carried = false
		changed = true
	}
	return changed
}

// holderGone reports whether the holder of a shard is gone. A holder that the
// member table doesn't list, such as a node of an earlier fleet, is gone once the
// table is complete.
func (a *Assigner) holderGone(shard *schema.Shard, view *gossiper.View, failed set.Set[gossiper.Instance]) bool {
	if failed.Has(gossiper.Instance{Name: shard.GetHolder(), Incarnation: shard.GetIncarnation()}) {
		return true
	}
	m := view.Members[shard.GetHolder()]
	if m == nil {
		return time.Since(a.started) > memberSyncPeriod
	}
	return m.GetStatus() == schema.Status_STATUS_LEFT || m.GetIncarnation() > shard.GetIncarnation()
}

// ChooseHolder returns the alive node that should hold a shard by rendezvous
// hashing, leaving out the excluded one, or nil if there is none.
func ChooseHolder(view *gossiper.View, index uint32, excluded string) *schema.Member {
	var best *schema.Member
	var highest uint64
	for name, m := range view.Members {
		if m.GetStatus() != schema.Status_STATUS_ALIVE || name == excluded {
			continue
		}
		score := xxhash.Sum64String(name + "/" + string(rune('a'+index)))
		if best == nil || score > highest {
			best, highest = m, score
		}
	}
	return best
}
