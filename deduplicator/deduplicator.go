// Package deduplicator recognizes requests that callers send again with the
// same Idempotency-Key.
//
// Each key has one home, the node that wins a hash of the key among all nodes
// that are not gone for good. The home remembers for a while which keys were
// used and how their requests ended: a request sent again gets the stored answer,
// or is told that the first one is still running, or that its outcome is not
// known; it never runs a second time.
//
// A home that took over keys only after one was first used can't know what
// became of it, and says so. When a key was first used is read from the key if
// it is a UUID of version 7 (RFC 9562), which carries its time; any other key is
// taken to be as old as the home's memory reaches.
//
// # Usage
//
//	d := deduplicator.New(directory, state)
//	resp := d.Claim(req)
//	d.Settle(req)
//	home, ok := d.Home(workspace, key)
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
	// retention is the time for which used keys are remembered at least.
	retention = 2 * time.Minute
	// settling is the time after a change of homes for which other nodes may
	// still send keys to the home before.
	settling = 10 * time.Second
	// overdue is the time beyond its deadline after which a request that never
	// settled is taken to be lost.
	overdue = 5 * time.Second
	// MaxAnswerBytes is the size of the largest answer kept, in bytes.
	MaxAnswerBytes = 64 << 10
	// maxTotal is the size of all answers kept, in bytes.
	maxTotal = 32 << 20
)

// Directory pictures the fleet.
type Directory interface {
	View() *gossiper.View
	Identity() (name string, incarnation uint64)
}

// State tells which nodes are gone for good, and whether that is known lately.
type State interface {
	Snapshot() *resolver.Snapshot
	Fresh() bool
}

// keyID names a key within its workspace.
type keyID struct {
	workspace string
	key       string
}

// record is what is known of a used key.
type record struct {
	digest   []byte
	standing schema.Standing
	answer   *schema.StoredAnswer
	// lost is the time at which an unsettled request is taken to be lost.
	lost time.Time
}

// Deduplicator is the memory of a home.
type Deduplicator struct {
	directory Directory
	state     State

	mu      sync.Mutex
	homes   *homes
	current map[keyID]*record
	former  map[keyID]*record
	turned  time.Time
	stored  int
}

// New returns a deduplicator without memory.
func New(d Directory, s State) *Deduplicator {
	return &Deduplicator{
		directory: d,
		state:     s,
		homes:     newHomes(),
		current:   map[keyID]*record{},
		turned:    time.Now(),
	}
}

// Owner returns the home of a key as this node sees it.
func (d *Deduplicator) Owner(workspace, key string) (*schema.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	name := d.homes.owner(slotOf(keyID{workspace, key}))
	m, ok := d.directory.View().Members[name]
	return m, ok
}

// refresh follows the member table.
func (d *Deduplicator) refresh() {
	d.homes.follow(d.directory.View(), d.state.Snapshot(), time.Now())
}

// Claim records the use of a key and tells how it stands.
func (d *Deduplicator) Claim(req *schema.ClaimRequest) *schema.ClaimResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	d.turn()
	id := keyID{req.GetWorkspace(), req.GetKey()}
	name, _ := d.directory.Identity()
	slot := slotOf(id)
	if d.homes.owner(slot) != name || !d.state.Fresh() {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_ELSEWHERE}
	}
	if r := d.find(id); r != nil {
		return d.again(r, req)
	}
	if firstUse(req.GetKey()).Before(d.homes.since(slot).Add(settling)) {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_UNKNOWN}
	}
	d.current[id] = &record{
		digest:   req.GetDigest(),
		standing: schema.Standing_STANDING_PENDING,
		lost:     time.Now().Add(req.GetLeft().AsDuration() + overdue),
	}
	return &schema.ClaimResponse{Standing: schema.Standing_STANDING_GRANTED}
}

// again answers a claim for a key that was used before.
func (d *Deduplicator) again(r *record, req *schema.ClaimRequest) *schema.ClaimResponse {
	if !bytes.Equal(r.digest, req.GetDigest()) {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_MISMATCH}
	}
	if r.standing == schema.Standing_STANDING_PENDING && time.Now().After(r.lost) {
		r.standing = schema.Standing_STANDING_UNKNOWN
	}
	if r.standing == schema.Standing_STANDING_ANSWERED && r.answer == nil {
		return &schema.ClaimResponse{Standing: schema.Standing_STANDING_UNKNOWN}
	}
	return &schema.ClaimResponse{Standing: r.standing, Answer: r.answer}
}

// Settle records how the request of a key ended. A request that did not run
// frees its key.
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
		delete(d.former, id)
	case schema.Outcome_OUTCOME_ANSWERED:
		r.standing = schema.Standing_STANDING_ANSWERED
		d.keep(r, req.GetAnswer())
	default:
		r.standing = schema.Standing_STANDING_UNKNOWN
	}
}

// keep stores an answer if there is room.
func (d *Deduplicator) keep(r *record, a *schema.StoredAnswer) {
	size := len(a.GetBody())
	if a == nil || size > MaxAnswerBytes || d.stored+size > maxTotal {
		return
	}
	r.answer = a
	d.stored += size
}

func (d *Deduplicator) find(id keyID) *record {
	if r := d.current[id]; r != nil {
		return r
	}
	return d.former[id]
}

// turn forgets old records.
func (d *Deduplicator) turn() {
	if time.Since(d.turned) < retention {
		return
	}
	for _, r := range d.former {
		d.stored -= len(r.answer.GetBody())
	}
	d.former, d.current = d.current, map[keyID]*record{}
	d.turned = time.Now()
}
