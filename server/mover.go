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
	// moveCheckInterval is the time between two looks at the shards held.
	moveCheckInterval = 5 * time.Second
	// moveTimeout bounds the move of a shard.
	moveTimeout = 3 * time.Second
	// checksBeforeMove is the number of looks for which a shard must belong
	// elsewhere, or be stuck, before anything is done.
	checksBeforeMove = 4
)

// shardMover brings the shards held by this node to the nodes that should hold
// them, with their books, and frees shards that are stuck.
type shardMover struct {
	parts  nodeParts
	logger *log.Logger
	name   string
	// pendingChecks counts the looks for which something was to be done, by shard.
	pendingChecks map[uint32]int
}

func newMover(p nodeParts, logger *log.Logger) *shardMover {
	name, _ := p.Gossiper.Identity()
	return &shardMover{parts: p, logger: logger, name: name, pendingChecks: map[uint32]int{}}
}

func (m *shardMover) run(ctx context.Context) {
	repeater.Run(ctx, moveCheckInterval, func() { m.step(ctx) })
}

// step moves or frees at most one shard, so that moves are spread in time.
func (m *shardMover) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	for _, index := range m.parts.Lender.HeldShards() {
		next := assigner.ChooseHolder(m.parts.Gossiper.View(), index, "")
		stuck := m.parts.Lender.IsShardClosed(index)
		if !stuck && (next == nil || next.GetName() == m.name) {
			m.pendingChecks[index] = 0
			continue
		}
		m.pendingChecks[index]++
		if m.pendingChecks[index] < checksBeforeMove {
			continue
		}
		m.pendingChecks[index] = 0
		if stuck {
			m.logFailure(index, m.free(ctx, index))
			return
		}
		m.logFailure(index, m.move(ctx, index, next))
		return
	}
}

func (m *shardMover) logFailure(index uint32, err error) {
	if err != nil {
		m.logger.Warn("shard not moved", "shard", index, "err", err)
	}
}

// moveAll moves all shards, for a planned stop.
func (m *shardMover) moveAll(ctx context.Context) {
	for _, index := range m.parts.Lender.HeldShards() {
		if next := assigner.ChooseHolder(m.parts.Gossiper.View(), index, m.name); next != nil {
			m.logFailure(index, m.move(ctx, index, next))
		}
	}
}

// move hands the books of a shard to a node and begins its term.
func (m *shardMover) move(ctx context.Context, index uint32, next *schema.Member) error {
	books, ok := m.parts.Lender.CloseShard(index)
	if !ok {
		return nil
	}
	if err := m.parts.Caller.Adopt(ctx, next.GetAddress(), books); err != nil {
		m.parts.Lender.ReopenShard(books)
		return err
	}
	err := m.writeTerm(ctx, &schema.Shard{
		Index: index, Holder: next.GetName(), Incarnation: next.GetIncarnation(), Term: books.GetTerm(), Carried: true,
	})
	if err != nil && !errors.Is(err, editor.ErrOutcomeUnknown) {
		m.parts.Lender.ReopenShard(books)
	}
	return err
}

// free begins a new term of a shard at this node, without books.
func (m *shardMover) free(ctx context.Context, index uint32) error {
	shard, ok := m.parts.Confirmer.Snapshot().Shard(index)
	if !ok {
		return nil
	}
	name, incarnation := m.parts.Gossiper.Identity()
	return m.writeTerm(ctx, &schema.Shard{Index: index, Holder: name, Incarnation: incarnation, Term: shard.GetTerm() + 1})
}

// writeTerm writes the next term of a shard, unless it has begun otherwise.
func (m *shardMover) writeTerm(ctx context.Context, next *schema.Shard) error {
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
