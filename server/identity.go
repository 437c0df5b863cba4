package server

import (
	"context"

	"quetzalhub/gossiper"
	"quetzalhub/lender"
	"quetzalhub/schema"
)

// identity provides the identity of this instance to parts that are created
// before the gossiper.
type identity struct {
	gossiper *gossiper.Gossiper
}

// Identity returns the name and incarnation of this node.
func (i *identity) Identity() (name string, incarnation uint64) {
	return i.gossiper.Identity()
}

// localLender borrows from the lender of this node without a network call. The
// lender is set after the caller is created.
type localLender struct {
	lender *lender.Lender
}

// Borrow passes a request to the lender.
func (l *localLender) Borrow(_ context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	return l.lender.Borrow(req)
}
