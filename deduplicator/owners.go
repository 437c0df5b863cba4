package deduplicator

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// slots is the number of hash slots into which keys are divided.
const slots = 1024

// slotOf returns the slot of a key.
func slotOf(id keyID) int {
	return int(xxhash.Sum64String(id.workspace+"\x00"+id.key) % slots)
}

// nodeID identifies one incarnation of a node.
type nodeID struct {
	name        string
	incarnation uint64
}

// ownerTable maps each slot to the node that owns it, and to the time at which
// this node saw it become the owner.
type ownerTable struct {
	view      *gossiper.View
	version   uint64
	members   map[nodeID]struct{}
	owners    [slots]nodeID
	scores    [slots]uint64
	changedAt [slots]time.Time
}

func newOwnerTable() *ownerTable {
	return &ownerTable{members: map[nodeID]struct{}{}}
}

func (t *ownerTable) owner(slot int) string { return t.owners[slot].name }

// ownedSince returns the time since which this node has seen the current owner.
func (t *ownerTable) ownedSince(slot int) time.Time { return t.changedAt[slot] }

// update applies a member table. Nodes that left gracefully or were fenced are
// permanently gone. Failed nodes keep their slots, since they may be
// partitioned rather than stopped.
func (t *ownerTable) update(view *gossiper.View, snapshot *resolver.Snapshot, now time.Time) {
	version := uint64(0)
	if snapshot != nil {
		version = snapshot.Version()
	}
	if view == t.view && version == t.version {
		return
	}
	t.view, t.version = view, version
	present := map[nodeID]struct{}{}
	for name, m := range view.Members {
		fenced := snapshot != nil && snapshot.IsFenced(name, m.GetIncarnation())
		if m.GetStatus() != schema.Status_STATUS_LEFT && !fenced {
			present[nodeID{name, m.GetIncarnation()}] = struct{}{}
		}
	}
	t.removeAbsent(present, now)
	for id := range present {
		if _, known := t.members[id]; !known {
			t.addNode(id, now)
		}
	}
	t.members = present
}

// addNode assigns to a node the slots for which it has a higher score than the
// current owner.
func (t *ownerTable) addNode(id nodeID, now time.Time) {
	for slot := range slots {
		if score := scoreOf(id.name, slot); t.owners[slot].name == "" || score > t.scores[slot] {
			t.owners[slot], t.scores[slot], t.changedAt[slot] = id, score, now
		}
	}
}

// removeAbsent reassigns the slots of owners that are no longer present.
func (t *ownerTable) removeAbsent(present map[nodeID]struct{}, now time.Time) {
	for slot := range slots {
		if _, ok := present[t.owners[slot]]; ok || t.owners[slot].name == "" {
			continue
		}
		t.owners[slot], t.scores[slot], t.changedAt[slot] = nodeID{}, 0, now
		for id := range present {
			if score := scoreOf(id.name, slot); score > t.scores[slot] {
				t.owners[slot], t.scores[slot] = id, score
			}
		}
	}
}

func scoreOf(name string, slot int) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.Itoa(slot))
}

const (
	// uuidHexDigits is the number of hexadecimal digits of a UUID.
	uuidHexDigits = 32
	// timestampHexDigits is the number of leading digits of a UUID of version 7
	// that contain its timestamp.
	timestampHexDigits = 12
	// clockSkew is the time by which the clock of a caller may be ahead.
	clockSkew = 2 * time.Second
)

// earliestUse returns the earliest time at which a key may have been used.
func earliestUse(key string) time.Time {
	oldest := time.Now().Add(-retention)
	digits := strings.ReplaceAll(strings.Trim(key, `"`), "-", "")
	if len(digits) != uuidHexDigits || digits[timestampHexDigits] != '7' {
		return oldest
	}
	if _, err := hex.DecodeString(digits); err != nil {
		return oldest
	}
	ms, err := strconv.ParseInt(digits[:timestampHexDigits], 16, 64)
	if err != nil {
		return oldest
	}
	return time.UnixMilli(ms).Add(-clockSkew)
}
