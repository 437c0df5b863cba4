// Package lender keeps the books of the shards held by a node and lends parts
// of the workspaces' rates and bursts to the nodes that need them.
//
// For each workspace the sum of the rates lent and of the rate kept equals the
// configured rate; the same holds for bursts. A borrower has one request under
// way at a time and reports what it holds, so the books are exact: what was
// lent before counts until the next report shows that it is no longer held.
//
// # Usage
//
//	l := lender.New(identity, confirmer, freshness)
//	resp, err := l.Borrow(req)
//
// A new holder lets loans of the term before go on as they are, and starts to
// lend more only when no other loan of that term can be in use any more. The
// loans of a borrower that failed are taken back once its incarnation is fenced
// in the state and the fence is in force at it.
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
	// ErrNotHolder reports that this node does not hold the shard's term.
	ErrNotHolder = errors.New("this node does not hold the shard")
	// ErrWaiting reports that the books of the shard are elsewhere.
	ErrWaiting = errors.New("the holder waits for the next term")
	// ErrOutdated reports a request that was overtaken by a later one.
	ErrOutdated = errors.New("the request was overtaken")
	// ErrFenced reports that the borrower's incarnation lost its loans.
	ErrFenced = errors.New("the borrower is fenced")
)

const (
	// driftShare is the share by which clocks of two hosts may run apart.
	driftShare = 0.05
	// margin is added to every wait for the end of rights at other nodes.
	margin = 100 * time.Millisecond
)

// Confirmer tells which state a node holds.
type Confirmer interface {
	Snapshot() *resolver.Snapshot
	OnChange(confirmer.ChangeListener)
}

// Identity names this start of this node.
type Identity interface {
	Identity() (name string, incarnation uint64)
}

// borrowerID names a start of a borrower.
type borrowerID struct {
	name        string
	incarnation uint64
}

// shard is the books of one shard.
type shard struct {
	term uint64
	// opens is the time from which the holder lends.
	opens time.Time
	// earns is the time from which pools earn tokens: before it, loans of the
	// term before may still earn what the books do not show.
	earns time.Time
	// pristine is true if no loan was ever made without being in the books.
	pristine bool
	numbers  map[borrowerID]uint64
	books    map[string]*book
}

// Lender keeps the books of the shards held by this node.
type Lender struct {
	identity  Identity
	confirmer Confirmer
	period    time.Duration

	mu      sync.Mutex
	shards  map[uint32]*shard
	adopted map[uint32]*schema.AdoptRequest
	// releases holds the times at which the loans of fenced borrowers end.
	releases map[borrowerID]time.Time
}

// New returns a lender; period is the freshness period of the fleet.
func New(identity Identity, c Confirmer, period time.Duration) *Lender {
	l := &Lender{
		identity:  identity,
		confirmer: c,
		period:    period,
		shards:    map[uint32]*shard{},
		adopted:   map[uint32]*schema.AdoptRequest{},
		releases:  map[borrowerID]time.Time{},
	}
	c.OnChange(l.change)
	return l
}

// grace returns the time after which rights that ended in a state just learned
// are no longer used anywhere.
func (l *Lender) grace() time.Duration {
	return l.period + time.Duration(driftShare*float64(l.period)) + margin
}

// change follows the step to a new state.
func (l *Lender) change(c confirmer.Change) {
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
			l.shards[index] = l.open(s, now)
		}
	}
	l.follow(c.New.State.GetFences(), now)
}

// follow starts the grace of new fences and forgets those that were removed.
func (l *Lender) follow(fences []*schema.Fence, now time.Time) {
	releases := make(map[borrowerID]time.Time, len(fences))
	for _, f := range fences {
		id := borrowerID{f.GetName(), f.GetIncarnation()}
		releases[id] = now.Add(l.grace())
		if known, ok := l.releases[id]; ok {
			releases[id] = known
		}
	}
	l.releases = releases
}

// open starts the books of a shard.
func (l *Lender) open(s *schema.Shard, now time.Time) *shard {
	opened := &shard{
		term:    s.GetTerm(),
		opens:   now.Add(l.grace()),
		earns:   now.Add(l.grace()),
		numbers: map[borrowerID]uint64{},
		books:   map[string]*book{},
	}
	if s.GetTerm() == 1 {
		opened.opens, opened.earns = now, now
		opened.pristine = true
	}
	adopted := l.adopted[s.GetIndex()]
	delete(l.adopted, s.GetIndex())
	if s.GetCarried() && adopted.GetTerm() == s.GetTerm() {
		opened.opens, opened.earns = now, now
		opened.pristine = adopted.GetPristine()
		opened.restore(adopted.GetBooks(), now)
	}
	if s.GetCarried() && adopted.GetTerm() != s.GetTerm() {
		// Loans of the term before go on, but their amounts are lost. The
		// assigner gives the shard a new term.
		opened.opens = now.Add(forever)
	}
	return opened
}

// forever is longer than any node runs.
const forever = 100 * 365 * 24 * time.Hour

// Stuck tells whether this node holds a shard in which it will never lend: the
// books were handed over and the next term did not begin, or never received.
func (l *Lender) Stuck(index uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[index]
	return s != nil && time.Until(s.opens) > forever/2
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
	if s.opens.Sub(now) > forever/2 {
		return nil, ErrWaiting
	}
	id := borrowerID{req.GetBorrower(), req.GetIncarnation()}
	if _, fenced := l.releases[id]; fenced {
		return nil, ErrFenced
	}
	if req.GetNumber() <= s.numbers[id] {
		return nil, ErrOutdated
	}
	s.numbers[id] = req.GetNumber()
	if now.Before(s.opens) {
		return s.confirm(id, req, snapshot, now), nil
	}
	l.release(s, now)
	resp := &schema.BorrowResponse{Version: snapshot.Version()}
	for _, d := range req.GetDemands() {
		limit, ok := snapshot.Limit(d.GetWorkspace())
		if !ok {
			continue
		}
		resp.Loans = append(resp.Loans, s.book(d.GetWorkspace(), limit, now).lend(id, d, now))
	}
	return resp, nil
}

// confirm lets loans of the term before go on under this one, as they are. They
// are parts of one division of the rate, so all of them together stay within it;
// nothing is lent beyond them until no other loan of that term can be in use.
func (s *shard) confirm(id borrowerID, req *schema.BorrowRequest, snapshot *resolver.Snapshot, now time.Time) *schema.BorrowResponse {
	resp := &schema.BorrowResponse{Version: snapshot.Version()}
	for _, d := range req.GetDemands() {
		if limit, ok := snapshot.Limit(d.GetWorkspace()); ok {
			resp.Loans = append(resp.Loans, s.book(d.GetWorkspace(), limit, now).confirm(id, d))
		}
	}
	return resp
}

// release takes back the loans of fenced borrowers whose grace has passed.
func (l *Lender) release(s *shard, now time.Time) {
	for id, at := range l.releases {
		if now.Before(at) {
			continue
		}
		delete(s.numbers, id)
		for _, b := range s.books {
			b.remove(id)
		}
	}
}

// Adopt keeps books handed over by the holder of the term before.
func (l *Lender) Adopt(req *schema.AdoptRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopted[req.GetShard()] = req
}

// Close ends lending in a shard and returns its books for the next holder. It
// returns false if there is nothing to hand over.
func (l *Lender) Close(index uint32) (*schema.AdoptRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[index]
	if s == nil || time.Now().Before(s.opens) {
		return nil, false
	}
	// The books stay closed, whatever states come, until the term ends.
	s.opens = time.Now().Add(forever)
	return &schema.AdoptRequest{Shard: index, Term: s.term + 1, Pristine: s.pristine, Books: s.export(time.Now())}, true
}

// Reopen undoes Close, if it is certain that the next term did not begin.
func (l *Lender) Reopen(books *schema.AdoptRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shards[books.GetShard()]; s != nil && s.term+1 == books.GetTerm() {
		s.opens = time.Now()
	}
}

// Held returns the indexes of the shards held by this node.
func (l *Lender) Held() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []uint32
	for index := range l.shards {
		held = append(held, index)
	}
	return held
}
