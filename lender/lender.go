// Package lender lends parts of the workspaces' rates and bursts to the nodes
// that need them and keeps a ledger of the loans for each workspace in the
// shards held by this node.
//
// For each workspace the rates lent and the rate kept by the holder add up to
// the configured rate; the same holds for bursts. A borrower has one request
// under way at a time and reports what it holds. A loan counts as held until a
// report shows that it is not, so the ledgers never understate the loans.
//
// # Usage
//
//	l := lender.New(identity, confirmer, freshness)
//	resp, err := l.Borrow(req)
//
// A new holder renews loans of the previous term unchanged, and lends more only
// when no unreported loan of that term can still be in use. The loans of a
// failed borrower are reclaimed once its incarnation is fenced in the state and
// the grace period has passed, after which the borrower no longer uses them.
package lender

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"quetzalhub/confirmer"
	"quetzalhub/limiter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// Errors returned to borrowers.
var (
	// ErrNotHolder means that this node does not hold the shard in the
	// requested term.
	ErrNotHolder = errors.New("this node does not hold the shard in the requested term")
	// ErrClosed means that the holder does not lend in this term, because the
	// ledgers of the shard were handed over or never received.
	ErrClosed = errors.New("lending in the shard is closed until its next term")
	// ErrStaleRequest means that a later request of the borrower was already
	// processed.
	ErrStaleRequest = errors.New("a later request of the borrower was already processed")
	// ErrFenced means that the borrower's incarnation is fenced and has lost its
	// loans.
	ErrFenced = errors.New("the incarnation of the borrower is fenced")
)

const (
	// clockDriftRatio is the maximum relative drift between the clocks of two
	// hosts.
	clockDriftRatio = 0.05
	// graceMargin is a safety margin included in the grace period.
	graceMargin = 100 * time.Millisecond
)

// Confirmer provides the node's state.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	OnChange(confirmer.ChangeListener)
}

// Identity provides the name and incarnation of this node.
type Identity interface {
	Identity() (name string, incarnation uint64)
}

// borrowerID identifies an incarnation of a borrower.
type borrowerID struct {
	name        string
	incarnation uint64
}

// shard holds the ledgers of one shard for one term.
type shard struct {
	term uint64
	// lendsFrom is the time from which the holder grants new loans.
	lendsFrom time.Time
	// refillsFrom is the time from which pools are refilled. Before it, loans of
	// the previous term that are not in the ledgers may still yield tokens.
	refillsFrom time.Time
	// pristine is true if every loan ever granted is in the ledgers.
	pristine bool
	// lastNumbers holds the number of the last request of each borrower.
	lastNumbers map[borrowerID]uint64
	ledgers     map[string]*ledger
}

// Lender lends from the shards held by this node.
type Lender struct {
	identity        Identity
	confirmer       Confirmer
	freshnessPeriod time.Duration

	mu     sync.Mutex
	shards map[uint32]*shard
	// adopted holds ledgers received for terms of which this node has not learned
	// yet.
	adopted map[uint32]*schema.AdoptRequest
	// reclaimTimes holds the time from which the loans of each fenced borrower
	// may be reclaimed.
	reclaimTimes map[borrowerID]time.Time
}

// New returns a lender. freshnessPeriod is the time for which a node's state stays
// fresh after a confirmation.
func New(identity Identity, c Confirmer, freshnessPeriod time.Duration) *Lender {
	l := &Lender{
		identity:        identity,
		confirmer:       c,
		freshnessPeriod: freshnessPeriod,
		shards:          map[uint32]*shard{},
		adopted:         map[uint32]*schema.AdoptRequest{},
		reclaimTimes:    map[borrowerID]time.Time{},
	}
	c.OnChange(l.applyChange)
	return l
}

// gracePeriod returns the time after which no node still uses loans that were
// ended by a state received now.
func (l *Lender) gracePeriod() time.Duration {
	return l.freshnessPeriod + time.Duration(clockDriftRatio*float64(l.freshnessPeriod)) + graceMargin
}

// applyChange opens and drops shards according to a new state.
func (l *Lender) applyChange(c confirmer.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	name, incarnation := l.identity.Identity()
	for index := range uint32(limiter.Shards) {
		s, ok := c.New.Shard(index)
		held := ok && s.GetHolder() == name && s.GetIncarnation() == incarnation
		if !held {
			delete(l.shards, index)
			continue
		}
		if present := l.shards[index]; present == nil || present.term != s.GetTerm() {
			l.shards[index] = l.openShard(s, now)
		}
	}
	l.updateFences(c.New.State.GetFences(), now)
}

// updateFences starts the grace period of new fences and drops removed ones.
func (l *Lender) updateFences(fences []*schema.Fence, now time.Time) {
	reclaimTimes := make(map[borrowerID]time.Time, len(fences))
	for _, f := range fences {
		id := borrowerID{f.GetName(), f.GetIncarnation()}
		reclaimTimes[id] = now.Add(l.gracePeriod())
		if known, ok := l.reclaimTimes[id]; ok {
			reclaimTimes[id] = known
		}
	}
	l.reclaimTimes = reclaimTimes
}

// openShard returns the ledgers for a term of a shard that this node now holds.
func (l *Lender) openShard(s *schema.Shard, now time.Time) *shard {
	opened := &shard{
		term:        s.GetTerm(),
		lendsFrom:   now.Add(l.gracePeriod()),
		refillsFrom: now.Add(l.gracePeriod()),
		lastNumbers: map[borrowerID]uint64{},
		ledgers:     map[string]*ledger{},
	}
	if s.GetTerm() == 1 {
		opened.lendsFrom, opened.refillsFrom = now, now
		opened.pristine = true
	}
	adopted := l.adopted[s.GetIndex()]
	delete(l.adopted, s.GetIndex())
	if s.GetCarried() && adopted.GetTerm() == s.GetTerm() {
		opened.lendsFrom, opened.refillsFrom = now, now
		opened.pristine = adopted.GetPristine()
		opened.importLedgers(adopted.GetBooks(), now)
	}
	if s.GetCarried() && adopted.GetTerm() != s.GetTerm() {
		// Loans of the previous term remain in use, but their amounts are not
		// known. Lending stays closed until the assigner starts a new term.
		opened.lendsFrom = now.Add(forever)
	}
	return opened
}

// forever is longer than the uptime of any node.
const forever = 100 * 365 * 24 * time.Hour

// IsShardClosed reports whether this node holds a shard in which it will not
// lend in this term: either it handed the ledgers over and the next term has not
// begun, or it never received them.
func (l *Lender) IsShardClosed(index uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[index]
	return s != nil && time.Until(s.lendsFrom) > forever/2
}

// Borrow records the demands of a borrower and returns its loans.
func (l *Lender) Borrow(req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := l.confirmer.Snapshot()
	s := l.shards[req.GetShard()]
	if snapshot == nil || s == nil || s.term != req.GetTerm() {
		return nil, ErrNotHolder
	}
	now := time.Now()
	if s.lendsFrom.Sub(now) > forever/2 {
		return nil, ErrClosed
	}
	id := borrowerID{req.GetBorrower(), req.GetIncarnation()}
	if _, fenced := l.reclaimTimes[id]; fenced {
		return nil, ErrFenced
	}
	if req.GetNumber() <= s.lastNumbers[id] {
		return nil, ErrStaleRequest
	}
	s.lastNumbers[id] = req.GetNumber()
	if now.Before(s.lendsFrom) {
		return s.renewLoans(id, req, snapshot, now), nil
	}
	l.reclaimLoans(s, now)
	resp := &schema.BorrowResponse{Version: snapshot.Version()}
	for _, d := range req.GetDemands() {
		limit, ok := snapshot.Limit(d.GetWorkspace())
		if !ok {
			continue
		}
		resp.Loans = append(resp.Loans, s.ledger(d.GetWorkspace(), limit, now).lend(id, d, now))
	}
	return resp, nil
}

// renewLoans renews loans of the previous term unchanged. They were granted from
// the same rate and burst, so all of them together stay within the limit.
// Nothing more is lent until no unreported loan of that term can be in use.
func (s *shard) renewLoans(id borrowerID, req *schema.BorrowRequest, snapshot *resolver.Snapshot, now time.Time) *schema.BorrowResponse {
	resp := &schema.BorrowResponse{Version: snapshot.Version()}
	for _, d := range req.GetDemands() {
		if limit, ok := snapshot.Limit(d.GetWorkspace()); ok {
			resp.Loans = append(resp.Loans, s.ledger(d.GetWorkspace(), limit, now).renew(id, d))
		}
	}
	return resp
}

// reclaimLoans removes the loans of fenced borrowers whose grace period has
// passed.
func (l *Lender) reclaimLoans(s *shard, now time.Time) {
	for id, at := range l.reclaimTimes {
		if now.Before(at) {
			continue
		}
		delete(s.lastNumbers, id)
		for _, workspaceLedger := range s.ledgers {
			workspaceLedger.remove(id)
		}
	}
}

// Adopt stores ledgers handed over by the holder of the previous term until this
// node learns of the new term.
func (l *Lender) Adopt(req *schema.AdoptRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopted[req.GetShard()] = req
}

// CloseShard stops lending in a shard and returns its ledgers for the next
// holder. It returns false if there is nothing to hand over.
func (l *Lender) CloseShard(index uint32) (*schema.AdoptRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[index]
	if s == nil || time.Now().Before(s.lendsFrom) {
		return nil, false
	}
	// The shard stays closed until the term ends, whichever states arrive.
	s.lendsFrom = time.Now().Add(forever)
	return &schema.AdoptRequest{Shard: index, Term: s.term + 1, Pristine: s.pristine, Books: s.exportLedgers(time.Now())}, true
}

// ReopenShard reverts CloseShard. Call it only if it is certain that the next
// term has not begun.
func (l *Lender) ReopenShard(ledgers *schema.AdoptRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shards[ledgers.GetShard()]; s != nil && s.term+1 == ledgers.GetTerm() {
		s.lendsFrom = time.Now()
	}
}

// HeldShards returns the indexes of the shards held by this node.
func (l *Lender) HeldShards() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []uint32
	for index := range l.shards {
		held = append(held, index)
	}
	return held
}
