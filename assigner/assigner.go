// Package assigner decides which nodes hold the shards and which incarnations
// lose their loans, and brings these decisions into the state.
//
// Every watcher of the platform comes to the same decisions from the member
// table. The first one writes them; the others write only if the first has not
// for a while. A watcher judges nodes only in domains that it hears from, and
// only while it hears more nodes of them than it misses, so that a host that
// is cut off judges nobody. A domain that it does not hear from at all is
// judged lost only once its heartbeat on the platform has stopped too; regions
// that are merely cut off from each other keep their shards and loans.
//
// # Usage
//
//	a := assigner.New(editor, directory)
//	a.Step(ctx, state, place, silent)
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
	// longer than lost nodes are remembered, so that each is fenced once.
	fenceRetention = 3 * time.Hour
	// memberTableTimeout is the time after which a node's table lists all others.
	memberTableTimeout = time.Minute
	// writerDelay is the time that each watcher leaves to those before it.
	writerDelay = 3 * time.Second
)

// Directory pictures the fleet.
type Directory interface {
	View() *gossiper.View
}

// Editor changes the state.
type Editor interface {
	Edit(ctx context.Context, change func(*schema.State) error) (uint64, error)
}

// Assigner writes decisions.
type Assigner struct {
	editor    Editor
	directory Directory
	// pendingSince is the time since which something was to be written.
	pendingSince time.Time
	started      time.Time
}

// New returns an assigner.
func New(e Editor, d Directory) *Assigner {
	return &Assigner{editor: e, directory: d, started: time.Now()}
}

// Step writes what has to change in the state, if it is this node's turn.
// Place is the place of this node among the watchers; lost names domains whose
// heartbeat has stopped.
func (a *Assigner) Step(ctx context.Context, state *schema.State, place int, lost set.Set[string]) error {
	if !a.decide(cloneAssignments(state), lost) {
		a.pendingSince = time.Time{}
		return nil
	}
	if a.pendingSince.IsZero() {
		a.pendingSince = time.Now()
	}
	if time.Since(a.pendingSince) < time.Duration(place)*writerDelay {
		return nil
	}
	_, err := a.editor.Edit(ctx, func(s *schema.State) error {
		if !a.decide(s, lost) {
			return editor.ErrNoChange
		}
		return nil
	})
	if err == editor.ErrNoChange {
		return nil
	}
	return err
}

// cloneAssignments copies the parts of a state that decisions change.
func cloneAssignments(s *schema.State) *schema.State {
	head := &schema.State{Version: s.GetVersion(), Domains: append([]string(nil), s.GetDomains()...)}
	head.Fences = append(head.Fences, s.GetFences()...)
	for _, shard := range s.GetShards() {
		head.Shards = append(head.Shards, &schema.Shard{
			Index: shard.GetIndex(), Holder: shard.GetHolder(), Incarnation: shard.GetIncarnation(),
			Term: shard.GetTerm(), Carried: shard.GetCarried(),
		})
	}
	return head
}

// decide changes a state to match the fleet and tells whether it did.
func (a *Assigner) decide(s *schema.State, lost set.Set[string]) bool {
	view := a.directory.View()
	changed := addDomains(s, view)
	if !a.seesMajority(view) {
		return changed
	}
	failed := a.failed(view, lost)
	fenced := addFences(s, failed, time.Now())
	pruned := pruneFences(s, time.Now())
	assigned := a.assignShards(s, view, failed)
	return changed || fenced || pruned || assigned
}

// seesMajority tells whether this node hears more nodes than it misses, in the
// domains that it hears from.
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

// failed returns the starts of nodes that failed, as far as this node may
// judge.
func (a *Assigner) failed(view *gossiper.View, lost set.Set[string]) set.Set[gossiper.Instance] {
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
	for start := range failed {
		if fenced.Has(start) {
			continue
		}
		s.Fences = append(s.Fences, &schema.Fence{
			Name: start.Name, Incarnation: start.Incarnation, Created: timestamppb.New(now),
		})
		changed = true
	}
	return changed
}

func pruneFences(s *schema.State, now time.Time) bool {
	kept := s.Fences[:0:0]
	for _, f := range s.GetFences() {
		if now.Sub(f.GetCreated().AsTime()) < fenceRetention {
			kept = append(kept, f)
		}
	}
	changed := len(kept) != len(s.Fences)
	s.Fences = kept
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

// holderGone tells whether the holder of a shard is gone. One that nobody has heard
// of, such as a node of an earlier fleet, is gone once the table is complete.
func (a *Assigner) holderGone(shard *schema.Shard, view *gossiper.View, failed set.Set[gossiper.Instance]) bool {
	if failed.Has(gossiper.Instance{Name: shard.GetHolder(), Incarnation: shard.GetIncarnation()}) {
		return true
	}
	m := view.Members[shard.GetHolder()]
	if m == nil {
		return time.Since(a.started) > memberTableTimeout
	}
	return m.GetStatus() == schema.Status_STATUS_LEFT || m.GetIncarnation() > shard.GetIncarnation()
}

// ChooseHolder returns the node that should hold a shard by rendezvous hashing, other
// than the excluded one, or nil.
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
