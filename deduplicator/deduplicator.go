// Package deduplicator recognizes requests that callers repeat with the same
// Idempotency-Key.
//
// Each key has one owner: the node with the highest hash for the slot of the
// key (rendezvous hashing) among all nodes that are not permanently gone. The
// owner keeps for the retention time which keys were used and how their
// requests ended. A repeated request gets the stored answer, or is told that
// the first one is still running or that its outcome is unknown. It never runs
// a second time.
//
// An owner that took over a key only after its first use can't know the outcome
// and answers that it is unknown. The time of the first use is read from the key
// if it is a UUID of version 7 (RFC 9562), which contains its creation time. Any
// other key is assumed to be as old as the retention time.
//
// # Usage
//
//	d := deduplicator.New(directory, state)
//	resp := d.Claim(req)
//	d.Settle(req)
//	owner, ok := d.Owner(workspace, key)
package deduplicator

import (
	"bytes"
	"sync"
	"time"

	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// retention is the minimum time for which used keys are kept.
	retention = 2 * time.Minute
	// handoverPeriod is the time after a change of owner during which other
	// nodes may still send keys to the previous owner.
	handoverPeriod = 10 * time.Second
	// settleGrace is the time after the deadline of a request from which it is
	// considered lost if it was not settled.
	settleGrace = 5 * time.Second
	// MaxAnswerBytes is the size of the largest stored answer.
	MaxAnswerBytes = 64 << 10
	// maxTotalBytes is the largest total size of all stored answers.
	maxTotalBytes = 32 << 20
)

// Directory provides the member table and the identity of this node.
type Directory interface {
	View() *gossiper.View
	Identity() (name string, incarnation uint64)
}

// State provides the state that lists the fenced nodes, and whether it is up to
// date.
type State interface {
	Snapshot() *resolver.Snapshot
	Fresh() bool
}

// keyID identifies a key within its workspace.
type keyID struct {
	workspace string
	key       string
}

// record is the state of a used key.
type record struct {
	digest   []byte
	standing schema.Standing
	answer   *schema.StoredAnswer
	// lostAt is the time at which an unsettled request is considered lost.
	lostAt time.Time
}

// Deduplicator stores the records of the keys that this node owns.
type Deduplicator struct {
	directory Directory
	state     State

	mu          sync.Mutex
	owners      *ownerTable
	current     map[keyID]*record
	previous    map[keyID]*record
	rotatedAt   time.Time
	storedBytes int
}

// New returns a deduplicator without records.
func New(d Directory, s State) *Deduplicator {
	return &Deduplicator{
		directory: d,
		state:     s,
		owners:    newOwnerTable(),
		current:   map[keyID]*record{},
		rotatedAt: time.Now(),
	}
}

// Owner returns the owner of a key as this node sees it.
func (d *Deduplicator) Owner(workspace, key string) (*schema.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshOwners()
	name := d.owners.owner(slotOf(keyID{workspace, key}))
	m, ok := d.directory.View().Members[name]
	return m, ok
}

// refreshOwners applies the current member table and state.
func (d *Deduplicator) refreshOwners() {
	d.owners.update(d.directory.View(), d.state.Snapshot(), time.Now())
}

// Claim records the use of a key and returns its standing.
func (d *Deduplicator) Claim(req *schema.ClaimRequest) *schema.ClaimResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshOwners()
	d.rotate()
	id := keyID{req.GetWorkspace(), req.GetKey()}
	name, _ := d.directory.Identity()
	slot := slotOf(id)
	if d.owners.owner(slot) != name || !d.state.Fresh() {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_ELSEWHERE}
	}
	if r := d.find(id); r != nil {
		return d.claimRepeated(r, req)
	}
	if earliestUse(req.GetKey()).Before(d.owners.ownedSince(slot).Add(handoverPeriod)) {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_UNKNOWN}
	}
	d.current[id] = &record{
		digest:   req.GetDigest(),
		standing: schema.Standing_STANDING_PENDING,
		lostAt:   time.Now().Add(req.GetLeft().AsDuration() + settleGrace),
	}
	return &schema.ClaimResponse{Standing: schema.Standing_STANDING_GRANTED}
}

// claimRepeated answers a claim for a key that was used before.
func (d *Deduplicator) claimRepeated(r *record, req *schema.ClaimRequest) *schema.ClaimResponse {
	if !bytes.Equal(r.digest, req.GetDigest()) {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_MISMATCH}
	}
	if r.standing == schema.Standing_STANDING_PENDING && time.Now().After(r.lostAt) {
		r.standing = schema.Standing_STANDING_UNKNOWN
	}
	if r.standing == schema.Standing_STANDING_ANSWERED && r.answer == nil {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_UNKNOWN}
	}
	return &schema.ClaimResponse{Standing: r.standing, Answer: r.answer}
}

// Settle records how the request of a key ended. A request that did not run
// releases its key.
func (d *Deduplicator) Settle(req *schema.SettleRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := keyID{req.GetWorkspace(), req.GetKey()}
	r := d.find(id)
	if r == nil || r.standing != schema.Standing_STANDING_PENDING {
		return
	}
	switch req.GetOutcome() {
	case schema.Outcome_OUTCOME_NOT_RUN:
		delete(d.current, id)
		delete(d.previous, id)
	case schema.Outcome_OUTCOME_ANSWERED:
		r.standing = schema.Standing_STANDING_ANSWERED
		d.storeAnswer(r, req.GetAnswer())
	default:
		r.standing = schema.Standing_STANDING_UNKNOWN
	}
}

// storeAnswer stores an answer unless it exceeds a size limit. The standing of a
// key without a stored answer is unknown.
func (d *Deduplicator) storeAnswer(r *record, a *schema.StoredAnswer) {
	size := len(a.GetBody())
	if a == nil || size > MaxAnswerBytes || d.storedBytes+size > maxTotalBytes {
		return
	}
	r.answer = a
	d.storedBytes += size
}

func (d *Deduplicator) find(id keyID) *record {
	if r := d.current[id]; r != nil {
		return r
	}
	return d.previous[id]
}

// rotate drops the previous records once per retention time. Each record is kept
// for at least one retention time.
func (d *Deduplicator) rotate() {
	if time.Since(d.rotatedAt) < retention {
		return
	}
	for _, r := range d.previous {
		d.storedBytes -= len(r.answer.GetBody())
	}
	d.previous, d.current = d.current, map[keyID]*record{}
	d.rotatedAt = time.Now()
}
