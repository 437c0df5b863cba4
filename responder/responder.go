// Package responder answers the calls of other nodes and of operators.
//
// # Usage
//
//	r := responder.New(parts)
//	http.Handle(schema.PeerPathPrefix, schema.NewPeerServer(r))
//	http.Handle(schema.AdminPathPrefix, schema.NewAdminServer(r))
package responder

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalhub/gossiper"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// Confirmer holds the state.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	Version() uint64
	Age() (time.Duration, bool)
	Fresh() bool
}

// Fleet knows the other nodes.
type Fleet interface {
	View() *gossiper.View
	Merge(members []*schema.Member)
	Identity() (name string, incarnation uint64)
}

// Lender lends parts of rates.
type Lender interface {
	Borrow(req *schema.BorrowRequest) (*schema.BorrowResponse, error)
	Adopt(req *schema.AdoptRequest)
}

// Fencer remembers attempts.
type Fencer interface {
	Check(id string) schema.Progress
}

// Deduplicator remembers idempotency keys.
type Deduplicator interface {
	Claim(req *schema.ClaimRequest) *schema.ClaimResponse
	Settle(req *schema.SettleRequest)
}

// Explainer remembers refusals.
type Explainer interface {
	Explain(request string) []refuser.Refusal
}

// Parts are what a responder answers from.
type Parts struct {
	Confirmer Confirmer
	Fleet     Fleet
	Lender    Lender
	Fencer    Fencer
	Keys      Deduplicator
	// Refusals went to callers, Calls to other nodes.
	Refusals Explainer
	Calls    Explainer
}

// Responder answers calls.
type Responder struct {
	Parts
}

// New returns a responder.
func New(p Parts) *Responder { return &Responder{p} }

// Fetch returns the state if it is newer than the caller's.
func (r *Responder) Fetch(_ context.Context, req *schema.FetchRequest) (*schema.FetchResponse, error) {
	snapshot := r.Confirmer.Snapshot()
	if snapshot == nil || snapshot.Version() <= req.GetVersion() {
		return &schema.FetchResponse{}, nil
	}
	return &schema.FetchResponse{State: snapshot.Raw}, nil
}

// Sync merges the caller's table and returns this node's.
func (r *Responder) Sync(_ context.Context, req *schema.SyncRequest) (*schema.SyncResponse, error) {
	r.Fleet.Merge(req.GetMembers())
	return &schema.SyncResponse{Members: members(r.Fleet.View())}, nil
}

func members(v *gossiper.View) []*schema.Member {
	list := make([]*schema.Member, 0, len(v.Members))
	for _, m := range v.Members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *schema.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

// Check tells what became of an attempt.
func (r *Responder) Check(_ context.Context, req *schema.CheckRequest) (*schema.CheckResponse, error) {
	if _, incarnation := r.Fleet.Identity(); req.GetIncarnation() != incarnation {
		return &schema.CheckResponse{Progress: schema.Progress_PROGRESS_UNKNOWN}, nil
	}
	return &schema.CheckResponse{Progress: r.Fencer.Check(req.GetAttempt())}, nil
}

// Borrow returns the loans of a borrower.
func (r *Responder) Borrow(_ context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	resp, err := r.Lender.Borrow(req)
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return resp, nil
}

// Adopt keeps books for the next term of a shard.
func (r *Responder) Adopt(_ context.Context, req *schema.AdoptRequest) (*schema.AdoptResponse, error) {
	r.Lender.Adopt(req)
	return &schema.AdoptResponse{}, nil
}

// Claim records the use of an idempotency key.
func (r *Responder) Claim(_ context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	return r.Keys.Claim(req), nil
}

// Settle records how the request of an idempotency key ended.
func (r *Responder) Settle(_ context.Context, req *schema.SettleRequest) (*schema.SettleResponse, error) {
	r.Keys.Settle(req)
	return &schema.SettleResponse{}, nil
}

// Explain tells why the node refused a request.
func (r *Responder) Explain(_ context.Context, req *schema.ExplainRequest) (*schema.ExplainResponse, error) {
	resp := &schema.ExplainResponse{}
	resp.Refusals = append(resp.Refusals, explained(r.Calls.Explain(req.GetRequest()), true)...)
	resp.Refusals = append(resp.Refusals, explained(r.Refusals.Explain(req.GetRequest()), false)...)
	return resp, nil
}

func explained(refusals []refuser.Refusal, internal bool) []*schema.Refusal {
	var list []*schema.Refusal
	for _, one := range refusals {
		list = append(list, &schema.Refusal{
			Code: uint32(one.Code), Note: one.Note, At: timestamppb.New(one.At), Internal: internal,
		})
	}
	return list
}

// Describe tells operators what the node knows.
func (r *Responder) Describe(context.Context, *schema.DescribeRequest) (*schema.DescribeResponse, error) {
	view := r.Fleet.View()
	name, _ := r.Fleet.Identity()
	resp := &schema.DescribeResponse{
		Self:    view.Members[name],
		Version: r.Confirmer.Version(),
		Fresh:   r.Confirmer.Fresh(),
		Members: members(view),
	}
	if snapshot := r.Confirmer.Snapshot(); snapshot != nil {
		resp.Config = snapshot.State.GetConfig().GetVersion()
		resp.Shards = snapshot.State.GetShards()
	}
	if age, ok := r.Confirmer.Age(); ok {
		resp.Age = durationpb.New(age)
	}
	return resp, nil
}
