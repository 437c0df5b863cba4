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

// slots is the number of parts into which keys are divided.
const slots = 1024

// slotOf returns the slot of a key.
func slotOf(id keyID) int {
	return int(xxhash.Sum64String(id.workspace+"\x00"+id.key) % slots)
}

// start names a start of a node.
type start struct {
	name        string
	incarnation uint64
}

// homes knows which node is home to each slot, and since when.
type homes struct {
	view    *gossiper.View
	version uint64
	members map[start]struct{}
	owners  [slots]start
	scores  [slots]uint64
	changed [slots]time.Time
}

func newHomes() *homes {
	return &homes{members: map[start]struct{}{}}
}

func (h *homes) owner(slot int) string { return h.owners[slot].name }

// since returns the time since which this node has seen the present owner.
func (h *homes) since(slot int) time.Time { return h.changed[slot] }

// follow takes over a member table. Nodes that left in order or were fenced are
// gone for good; failed ones stay, since they may only be cut off.
func (h *homes) follow(view *gossiper.View, snapshot *resolver.Snapshot, now time.Time) {
	version := uint64(0)
	if snapshot != nil {
		version = snapshot.Version()
	}
	if view == h.view && version == h.version {
		return
	}
	h.view, h.version = view, version
	present := map[start]struct{}{}
	for name, m := range view.Members {
		fenced := snapshot != nil && snapshot.Fenced(name, m.GetIncarnation())
		if m.GetStatus() != schema.Status_STATUS_LEFT && !fenced {
			present[start{name, m.GetIncarnation()}] = struct{}{}
		}
	}
	h.remove(present, now)
	for s := range present {
		if _, known := h.members[s]; !known {
			h.add(s, now)
		}
	}
	h.members = present
}

// add gives a node the slots in which it beats their owners.
func (h *homes) add(s start, now time.Time) {
	for slot := range slots {
		if score := scoreOf(s.name, slot); h.owners[slot].name == "" || score > h.scores[slot] {
			h.owners[slot], h.scores[slot], h.changed[slot] = s, score, now
		}
	}
}

// remove takes slots from owners that are no longer present.
func (h *homes) remove(present map[start]struct{}, now time.Time) {
	for slot := range slots {
		if _, ok := present[h.owners[slot]]; ok || h.owners[slot].name == "" {
			continue
		}
		h.owners[slot], h.scores[slot], h.changed[slot] = start{}, 0, now
		for s := range present {
			if score := scoreOf(s.name, slot); score > h.scores[slot] {
				h.owners[slot], h.scores[slot] = s, score
			}
		}
	}
}

func scoreOf(name string, slot int) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.Itoa(slot))
}

const (
	// uuidLength is the number of hexadecimal digits of a UUID.
	uuidLength = 32
	// timeDigits is the number of those that hold the time of version 7.
	timeDigits = 12
	// clockSkew is the time by which a caller's clock may be ahead.
	clockSkew = 2 * time.Second
)

// firstUse returns the earliest time at which a key may have been used.
func firstUse(key string) time.Time {
	oldest := time.Now().Add(-retention)
	digits := strings.ReplaceAll(strings.Trim(key, `"`), "-", "")
	if len(digits) != uuidLength || digits[timeDigits] != '7' {
		return oldest
	}
	if _, err := hex.DecodeString(digits); err != nil {
		return oldest
	}
	ms, err := strconv.ParseInt(digits[:timeDigits], 16, 64)
	if err != nil {
		return oldest
	}
	return time.UnixMilli(ms).Add(-clockSkew)
}
