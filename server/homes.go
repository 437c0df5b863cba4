package server

import (
	"context"

	"github.com/juju/errors"

	"quetzalhub/caller"
	"quetzalhub/deduplicator"
	"quetzalhub/schema"
)

// keyOwners reaches the homes of idempotency keys.
type keyOwners struct {
	keys   *deduplicator.Deduplicator
	caller *caller.Caller
}

// Claim records the use of a key at its home.
func (h *keyOwners) Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	owner, ok := h.keys.Owner(req.GetWorkspace(), req.GetKey())
	if !ok {
		return nil, errors.NotFoundf("home of the key")
	}
	return h.caller.Claim(ctx, owner.GetAddress(), req)
}

// Settle tells the home how the request ended.
func (h *keyOwners) Settle(ctx context.Context, req *schema.SettleRequest) error {
	home, ok := h.keys.Owner(req.GetWorkspace(), req.GetKey())
	if !ok {
		return errors.NotFoundf("home of the key")
	}
	return h.caller.Settle(ctx, home.GetAddress(), req)
}
