package server

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"quetzalhub/assigner"
	"quetzalhub/editor"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

const (
	// moveInterval is the time between two looks at the shards held.
	moveInterval = 5 * time.Second
	// moveTimeout bounds the move of a shard.
	moveTimeout = 3 * time.Second
	// movePatience is the number of looks for which a shard must belong
	// elsewhere, or be stuck, before anything is done.
	movePatience = 4
)

// mover brings the shards held by this node to the nodes that should hold
// them, with their books, and frees shards that are stuck.
type mover struct {
	parts  nodeParts
	logger *log.Logger
	name   string
	// waited counts the looks for which something was to be done, by shard.
	waited map[uint32]int
}

func newMover(p nodeParts, logger *log.Logger) *mover {
	name, _ := p.Gossiper.Identity()
	return &mover{parts: p, logger: logger, name: name, waited: map[uint32]int{}}
}

func (m *mover) run(ctx context.Context) {
	repeater.Run(ctx, moveInterval, func() { m.step(ctx) })
}

// step moves or frees at most one shard, so that moves are spread in time.
func (m *mover) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	for _, index := range m.parts.Lender.HeldShards() {
		next := assigner.Choose(m.parts.Gossiper.View(), index, "")
		stuck := m.parts.Lender.IsShardClosed(index)
		if !stuck && (next == nil || next.GetName() == m.name) {
			m.waited[index] = 0
			continue
		}
		m.waited[index]++
		if m.waited[index] < movePatience {
			continue
		}
		m.waited[index] = 0
		if stuck {
			m.report(index, m.free(ctx, index))
			return
		}
		m.report(index, m.move(ctx, index, next))
		return
	}
}

func (m *mover) report(index uint32, err error) {
	if err != nil {
		m.logger.Warn("shard not moved", "shard", index, "err", err)
	}
}

// moveAll moves all shards, for a planned stop.
func (m *mover) moveAll(ctx context.Context) {
	for _, index := range m.parts.Lender.HeldShards() {
		if next := assigner.Choose(m.parts.Gossiper.View(), index, m.name); next != nil {
			m.report(index, m.move(ctx, index, next))
		}
	}
}

// move hands the books of a shard to a node and begins its term.
func (m *mover) move(ctx context.Context, index uint32, next *schema.Member) error {
	books, ok := m.parts.Lender.CloseShard(index)
	if !ok {
		return nil
	}
	if err := m.parts.Caller.Adopt(ctx, next.GetAddress(), books); err != nil {
		m.parts.Lender.ReopenShard(books)
		return err
	}
	err := m.begin(ctx, &schema.Shard{
		Index: index, Holder: next.GetName(), Incarnation: next.GetIncarnation(), Term: books.GetTerm(), Carried: true,
	})
	if err != nil && !errors.Is(err, editor.ErrOutcomeUnknown) {
		m.parts.Lender.ReopenShard(books)
	}
	return err
}

// free begins a new term of a shard at this node, without books.
func (m *mover) free(ctx context.Context, index uint32) error {
	shard, ok := m.parts.Confirmer.Snapshot().Shard(index)
	if !ok {
		return nil
	}
	name, incarnation := m.parts.Gossiper.Identity()
	return m.begin(ctx, &schema.Shard{Index: index, Holder: name, Incarnation: incarnation, Term: shard.GetTerm() + 1})
}

// begin writes the next term of a shard, unless it has begun otherwise.
func (m *mover) begin(ctx context.Context, next *schema.Shard) error {
	_, err := editor.New(m.parts.Store, "node "+m.name).Edit(ctx, func(s *schema.State) error {
		for i, shard := range s.GetShards() {
			if shard.GetIndex() == next.GetIndex() && shard.GetTerm()+1 == next.GetTerm() {
				s.Shards[i] = next
				return nil
			}
		}
		return editor.ErrNoChange
	})
	if err == editor.ErrNoChange {
		return nil
	}
	return err
}
