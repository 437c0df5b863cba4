package server

import (
	"context"

	"github.com/juju/errors"

	"quetzalhub/caller"
	"quetzalhub/deduplicator"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// keyOwners sends claims and settlements of idempotency keys to the nodes that
// own the keys.
type keyOwners struct {
	keys   *deduplicator.Deduplicator
	caller *caller.Caller
}

// Claim records the use of a key at its owner.
func (k *keyOwners) Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	owner, ok := k.keys.Owner(req.GetWorkspace(), req.GetKey())
	if !ok {
		return nil, errors.NotFoundf("owner of the idempotency key")
	}
	return k.caller.Claim(ctx, owner.GetAddress(), req)
}

// Settle reports to the owner how the request ended. An owner outside the regions in which
// the request may run does not get the answer.
func (k *keyOwners) Settle(ctx context.Context, req *schema.SettleRequest, within resolver.Regions) error {
	owner, ok := k.keys.Owner(req.GetWorkspace(), req.GetKey())
	if !ok {
		return errors.NotFoundf("owner of the idempotency key")
	}
	if !within.Allow(owner.GetRegion()) {
		req.Answer = nil
	}
	return k.caller.Settle(ctx, owner.GetAddress(), req)
}
