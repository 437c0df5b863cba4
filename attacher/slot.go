package attacher

import (
	"math/rand/v2"
	"time"

	"quetzalhub/gossiper"
)

const (
	// minWatchPeriod and maxWatchPeriod bound the time between two starts of a watch of the
	// latest data at one node.
	minWatchPeriod = 500 * time.Millisecond
	maxWatchPeriod = 12500 * time.Millisecond
	// minSlotWait is the shortest wait until a slot; a node waits for the next one instead.
	// A watch may end slightly before its wait does.
	minSlotWait = 20 * time.Millisecond
)

// slotWait returns the wait for a watch of the latest data of the named node. The watchers of
// all domains end their watches in turn, evenly spread over a period of the clock, with which
// together they start a number of them per second. A loss of the platform, or of its history,
// shows when a watch ends, so that the spread bounds the time until the first one notices. A
// node that is no watcher by its view draws a random wait.
func slotWait(view *gossiper.View, name string, startsPerSecond int) time.Duration {
	slot, watchers := -1, 0
	for _, domain := range view.Domains() {
		for _, w := range view.Watchers(domain) {
			if w.GetName() == name {
				slot = watchers
			}
			watchers++
		}
	}
	period := time.Duration(watchers) * time.Second / time.Duration(startsPerSecond)
	period = min(max(period, minWatchPeriod), maxWatchPeriod)
	if slot < 0 {
		return checkWait + rand.N(2*period)
	}
	at := period * time.Duration(slot) / time.Duration(watchers)
	wait := (at - time.Duration(time.Now().UnixNano())%period + period) % period
	if wait < minSlotWait {
		wait += period
	}
	return wait
}
