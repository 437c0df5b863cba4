// Package responder serves the RPCs that other nodes and operators call on a
// node.
//
// # Usage
//
//	r := responder.New(dependencies)
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

// State provides the compiled state of the fleet and how recently it was
// confirmed.
type State interface {
	Snapshot() *resolver.Snapshot
	Version() uint64
	Age() (time.Duration, bool)
	Fresh() bool
}

// Fleet holds the membership table of this node.
type Fleet interface {
	View() *gossiper.View
	Merge(members []*schema.Member)
	Identity() (name string, incarnation uint64)
}

// Lender grants loans on the rates of workspaces.
type Lender interface {
	Borrow(req *schema.BorrowRequest) (*schema.BorrowResponse, error)
	Adopt(req *schema.AdoptRequest)
}

// Fencer records the progress of attempts.
type Fencer interface {
	Check(id string) schema.Progress
}

// IdempotencyStore records requests by idempotency key.
type IdempotencyStore interface {
	Claim(req *schema.ClaimRequest) *schema.ClaimResponse
	Settle(req *schema.SettleRequest)
}

// RefusalHistory holds recent refusals.
type RefusalHistory interface {
	FindRefusals(request string) []refuser.Refusal
}

// Dependencies are the components that a Responder calls.
type Dependencies struct {
	State            State
	Fleet            Fleet
	Lender           Lender
	Fencer           Fencer
	IdempotencyStore IdempotencyStore
	// CallerRefusals were sent to callers, PeerRefusals to other nodes.
	CallerRefusals RefusalHistory
	PeerRefusals   RefusalHistory
}

// Responder implements the Peer and Admin services of package schema.
type Responder struct {
	Dependencies
}

// New returns a Responder that uses the given components.
func New(d Dependencies) *Responder { return &Responder{d} }

// Fetch returns the state if it is newer than the version of the calling node.
func (r *Responder) Fetch(_ context.Context, req *schema.FetchRequest) (*schema.FetchResponse, error) {
	snapshot := r.State.Snapshot()
	if snapshot == nil || snapshot.Version() <= req.GetVersion() {
		return &schema.FetchResponse{}, nil
	}
	return &schema.FetchResponse{State: snapshot.Raw}, nil
}

// Sync merges the membership table of the calling node and returns the merged
// table.
func (r *Responder) Sync(_ context.Context, req *schema.SyncRequest) (*schema.SyncResponse, error) {
	r.Fleet.Merge(req.GetMembers())
	return &schema.SyncResponse{Members: sortedMembers(r.Fleet.View())}, nil
}

func sortedMembers(v *gossiper.View) []*schema.Member {
	members := make([]*schema.Member, 0, len(v.Members))
	for _, m := range v.Members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *schema.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	return members
}

// Check returns the progress of an attempt. It is unknown for attempts sent to
// another incarnation of this node.
func (r *Responder) Check(_ context.Context, req *schema.CheckRequest) (*schema.CheckResponse, error) {
	if _, incarnation := r.Fleet.Identity(); req.GetIncarnation() != incarnation {
		return &schema.CheckResponse{Progress: schema.Progress_PROGRESS_UNKNOWN}, nil
	}
	return &schema.CheckResponse{Progress: r.Fencer.Check(req.GetAttempt())}, nil
}

// Borrow grants loans to a node and returns them.
func (r *Responder) Borrow(_ context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	resp, err := r.Lender.Borrow(req)
	if err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return resp, nil
}

// Adopt stores the loan ledger of a shard for its next term.
func (r *Responder) Adopt(_ context.Context, req *schema.AdoptRequest) (*schema.AdoptResponse, error) {
	r.Lender.Adopt(req)
	return &schema.AdoptResponse{}, nil
}

// Claim registers a request under its idempotency key.
func (r *Responder) Claim(_ context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	return r.IdempotencyStore.Claim(req), nil
}

// Settle records the outcome of the request of an idempotency key.
func (r *Responder) Settle(_ context.Context, req *schema.SettleRequest) (*schema.SettleResponse, error) {
	r.IdempotencyStore.Settle(req)
	return &schema.SettleResponse{}, nil
}

// Explain returns the recent refusals of a request by this node.
func (r *Responder) Explain(_ context.Context, req *schema.ExplainRequest) (*schema.ExplainResponse, error) {
	resp := &schema.ExplainResponse{}
	resp.Refusals = append(resp.Refusals, refusalsToSchema(r.PeerRefusals.FindRefusals(req.GetRequest()), true)...)
	resp.Refusals = append(resp.Refusals, refusalsToSchema(r.CallerRefusals.FindRefusals(req.GetRequest()), false)...)
	return resp, nil
}

func refusalsToSchema(refusals []refuser.Refusal, internal bool) []*schema.Refusal {
	var list []*schema.Refusal
	for _, refusal := range refusals {
		list = append(list, &schema.Refusal{
			Code: uint32(refusal.Code), Note: refusal.Note, At: timestamppb.New(refusal.At), Internal: internal,
		})
	}
	return list
}

// Describe returns the membership table and the state versions of this node.
func (r *Responder) Describe(context.Context, *schema.DescribeRequest) (*schema.DescribeResponse, error) {
	view := r.Fleet.View()
	name, _ := r.Fleet.Identity()
	resp := &schema.DescribeResponse{
		Self:    view.Members[name],
		Version: r.State.Version(),
		Fresh:   r.State.Fresh(),
		Members: sortedMembers(view),
	}
	if snapshot := r.State.Snapshot(); snapshot != nil {
		resp.Config = snapshot.State.GetConfig().GetVersion()
		resp.Shards = snapshot.State.GetShards()
	}
	if age, ok := r.State.Age(); ok {
		resp.Age = durationpb.New(age)
	}
	return resp, nil
}
