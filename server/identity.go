package server

import (
	"context"

	"quetzalhub/gossiper"
	"quetzalhub/lender"
	"quetzalhub/schema"
)

// identity names this start of this node to parts that are made before the
// gossiper.
type identity struct {
	gossiper *gossiper.Gossiper
}

// Identity returns the name and incarnation of this node.
func (i *identity) Identity() (name string, incarnation uint64) {
	return i.gossiper.Identity()
}

// localLender borrows from the lender of this node.
type localLender struct {
	lender *lender.Lender
}

// Borrow passes a report to the lender.
func (l *localLender) Borrow(_ context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	return l.lender.Borrow(req)
}
