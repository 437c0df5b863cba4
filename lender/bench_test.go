package lender_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/confirmer"
	"quetzalhub/lender"
	"quetzalhub/limiter"
	"quetzalhub/schema"
)

// singleNode is the identity of a node that holds all shards.
type singleNode struct{}

func (singleNode) Identity() (string, uint64) { return "node-0", 1 }

// BenchmarkBorrow measures one report on one workspace at a holder with many
// borrowers, with demand well below the rate (calm) and above it (tight).
func BenchmarkBorrow(b *testing.B) {
	for _, borrowers := range []int{12, 120, 1200} {
		for name, demand := range map[string]float64{"calm": 500, "tight": 2000} {
			b.Run(fmt.Sprintf("%d borrowers, %s", borrowers, name), func(b *testing.B) {
				l, shard := newHolder(b)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					req := &schema.BorrowRequest{
						Borrower: fmt.Sprintf("node-%d", i%borrowers), Incarnation: 1, Shard: shard, Term: 1, Number: uint64(i + 1),
						Demands: []*schema.Demand{{Workspace: workspace, Rate: demand / float64(borrowers)}},
					}
					if _, err := l.Borrow(req); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func newHolder(b *testing.B) (*lender.Lender, uint32) {
	c := confirmer.New("a", time.Hour)
	l := lender.New(singleNode{}, c, time.Hour)
	state := &schema.State{Version: 1, Config: &schema.Config{Workspaces: []*schema.Workspace{{Name: workspace, Rate: 1000, Burst: 1000}}}}
	for i := range uint32(limiter.Shards) {
		state.Shards = append(state.Shards, &schema.Shard{Index: i, Holder: "node-0", Incarnation: 1, Term: 1})
	}
	raw, _ := proto.Marshal(state)
	if _, err := c.Apply(raw); err != nil {
		b.Fatal(err)
	}
	return l, limiter.ShardOf(workspace)
}
