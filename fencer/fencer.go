// Package fencer remembers what became of the attempts sent to a node, so that
// a sender can find out whether one ran.
//
// An attempt that was never begun is fenced when its sender asks about it:
// from then on it is refused, and the sender may give the request to another
// node. What became of an attempt is remembered for the retention time after
// its end; senders don't ask later than that. Fences are remembered longer, in
// case the attempt is still on its way.
//
// # Usage
//
//	if !f.Begin(id) { refuse }
//	defer f.End(id)
//	progress := f.Check(id)
package fencer

import (
	"sync"
	"time"

	"quetzalhub/schema"
)

const (
	// Retention is the time for which ended attempts are remembered at least.
	Retention = time.Minute
	// fenceRetention is the time for which fences are remembered at least.
	fenceRetention = 10 * time.Minute
)

// generations is a set of identifiers that forgets old ones.
type generations struct {
	period  time.Duration
	turned  time.Time
	current map[string]struct{}
	former  map[string]struct{}
}

func newGenerations(period time.Duration) generations {
	return generations{period: period, turned: time.Now(), current: map[string]struct{}{}}
}

func (g *generations) turn(now time.Time) {
	if now.Sub(g.turned) < g.period {
		return
	}
	g.former, g.current = g.current, map[string]struct{}{}
	g.turned = now
}

func (g *generations) add(id string) { g.current[id] = struct{}{} }

func (g *generations) has(id string) bool {
	if _, ok := g.current[id]; ok {
		return true
	}
	_, ok := g.former[id]
	return ok
}

// Fencer remembers attempts.
type Fencer struct {
	mu      sync.Mutex
	active  map[string]struct{}
	ended   generations
	refused generations
	fenced  generations
}

// New returns a fencer that remembers nothing.
func New() *Fencer {
	return &Fencer{
		active:  map[string]struct{}{},
		ended:   newGenerations(Retention),
		refused: newGenerations(Retention),
		fenced:  newGenerations(fenceRetention),
	}
}

// Begin marks an attempt as begun. It returns false if the attempt is fenced
// or was begun before; it must not run then.
func (f *Fencer) Begin(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn()
	_, active := f.active[id]
	if active || f.ended.has(id) || f.refused.has(id) || f.fenced.has(id) {
		return false
	}
	f.active[id] = struct{}{}
	return true
}

// End marks a begun attempt as ended.
func (f *Fencer) End(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, id)
	f.ended.add(id)
}

// MarkNotRun marks a begun attempt as one that did not run and never will.
func (f *Fencer) MarkNotRun(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, id)
	f.refused.add(id)
}

// Check tells what became of an attempt, and fences it if it never began.
func (f *Fencer) Check(id string) schema.Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn()
	if _, active := f.active[id]; active {
		return schema.Progress_PROGRESS_RUNNING
	}
	if f.ended.has(id) {
		return schema.Progress_PROGRESS_DONE
	}
	if !f.refused.has(id) {
		f.fenced.add(id)
	}
	return schema.Progress_PROGRESS_FENCED
}

func (f *Fencer) turn() {
	now := time.Now()
	f.ended.turn(now)
	f.refused.turn(now)
	f.fenced.turn(now)
}
