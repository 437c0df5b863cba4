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
	// moveCheckInterval is the time between two checks of the held shards.
	moveCheckInterval = 5 * time.Second
	// moveTimeout is the time limit for one step, which moves at most one shard.
	moveTimeout = 3 * time.Second
	// checksBeforeMove is the number of consecutive checks in which a shard
	// must belong to another node, or be closed, before the mover acts.
	checksBeforeMove = 4
)

// shardMover hands over the shards held by this node, with their ledgers, to the
// nodes that should hold them. It also starts a new term for shards that are
// closed.
type shardMover struct {
	parts  nodeParts
	logger *log.Logger
	name   string
	// pendingChecks counts, by shard, the consecutive checks in which the shard
	// had to be moved or started anew.
	pendingChecks map[uint32]int
}

func newShardMover(p nodeParts, logger *log.Logger) *shardMover {
	name, _ := p.Gossiper.Identity()
	return &shardMover{parts: p, logger: logger, name: name, pendingChecks: map[uint32]int{}}
}

func (m *shardMover) run(ctx context.Context) {
	repeater.Run(ctx, moveCheckInterval, func() { m.step(ctx) })
}

// step acts on at most one shard, so that moves are spread over time.
func (m *shardMover) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	for _, index := range m.parts.Lender.HeldShards() {
		next := assigner.ChooseHolder(m.parts.Gossiper.View(), index, "")
		closed := m.parts.Lender.IsShardClosed(index)
		if !closed && (next == nil || next.GetName() == m.name) {
			m.pendingChecks[index] = 0
			continue
		}
		m.pendingChecks[index]++
		if m.pendingChecks[index] < checksBeforeMove {
			continue
		}
		m.pendingChecks[index] = 0
		if closed {
			m.logFailure(index, m.startEmptyTerm(ctx, index))
			return
		}
		m.logFailure(index, m.move(ctx, index, next))
		return
	}
}

func (m *shardMover) logFailure(index uint32, err error) {
	if err != nil {
		m.logger.Warn("shard handover failed", "shard", index, "err", err)
	}
}

// moveAll hands over all shards before a planned stop.
func (m *shardMover) moveAll(ctx context.Context) {
	for _, index := range m.parts.Lender.HeldShards() {
		if next := assigner.ChooseHolder(m.parts.Gossiper.View(), index, m.name); next != nil {
			m.logFailure(index, m.move(ctx, index, next))
		}
	}
}

// move sends the ledgers of a shard to the next holder and starts its term. If
// the term certainly did not start, this node goes on lending in the shard.
func (m *shardMover) move(ctx context.Context, index uint32, next *schema.Member) error {
	ledgers, ok := m.parts.Lender.CloseShard(index)
	if !ok {
		return nil
	}
	if err := m.parts.Caller.Adopt(ctx, next.GetAddress(), ledgers); err != nil {
		m.parts.Lender.ReopenShard(ledgers)
		return err
	}
	err := m.writeTerm(ctx, &schema.Shard{
		Index: index, Holder: next.GetName(), Incarnation: next.GetIncarnation(), Term: ledgers.GetTerm(), Carried: true,
	})
	if err != nil && !errors.Is(err, editor.ErrOutcomeUnknown) {
		m.parts.Lender.ReopenShard(ledgers)
	}
	return err
}

// startEmptyTerm starts a new term of a shard at this node, without ledgers.
func (m *shardMover) startEmptyTerm(ctx context.Context, index uint32) error {
	shard, ok := m.parts.Confirmer.Snapshot().Shard(index)
	if !ok {
		return nil
	}
	name, incarnation := m.parts.Gossiper.Identity()
	return m.writeTerm(ctx, &schema.Shard{Index: index, Holder: name, Incarnation: incarnation, Term: shard.GetTerm() + 1})
}

// writeTerm writes the next term of a shard to the state, unless another term has
// started in the meantime.
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
