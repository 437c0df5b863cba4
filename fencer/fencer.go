// Package fencer records the progress of the attempts sent to a node, so that a
// sender can find out whether an attempt ran.
//
// An attempt that has not begun is fenced when its sender asks about it: from
// then on it is refused, and the sender may send the request to another node. The
// progress of an attempt is kept for the retention time after its end; senders
// don't ask later than that. Fences are kept longer, since the fenced attempt may
// still be in flight.
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
	// Retention is the minimum time for which ended attempts are kept.
	Retention = time.Minute
	// fenceRetention is the minimum time for which fences are kept.
	fenceRetention = 10 * time.Minute
)

// expiringSet is a set of identifiers that keeps each of them for at least one
// period and removes it at a later rotation.
type expiringSet struct {
	period    time.Duration
	rotatedAt time.Time
	current   map[string]struct{}
	previous  map[string]struct{}
}

func newExpiringSet(period time.Duration) expiringSet {
	return expiringSet{period: period, rotatedAt: time.Now(), current: map[string]struct{}{}}
}

// rotate drops the previous identifiers once per period.
func (s *expiringSet) rotate(now time.Time) {
	if now.Sub(s.rotatedAt) < s.period {
		return
	}
	s.previous, s.current = s.current, map[string]struct{}{}
	s.rotatedAt = now
}

func (s *expiringSet) add(id string) { s.current[id] = struct{}{} }

func (s *expiringSet) has(id string) bool {
	if _, ok := s.current[id]; ok {
		return true
	}
	_, ok := s.previous[id]
	return ok
}

// Fencer records attempts.
type Fencer struct {
	mu      sync.Mutex
	active  map[string]struct{}
	ended   expiringSet
	refused expiringSet
	fenced  expiringSet
}

// New returns a fencer without records.
func New() *Fencer {
	return &Fencer{
		active:  map[string]struct{}{},
		ended:   newExpiringSet(Retention),
		refused: newExpiringSet(Retention),
		fenced:  newExpiringSet(fenceRetention),
	}
}

// Begin marks an attempt as running. It returns false if the attempt is fenced or
// has begun before; the attempt must not run then.
func (f *Fencer) Begin(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	_, active := f.active[id]
	if active || f.ended.has(id) || f.refused.has(id) || f.fenced.has(id) {
		return false
	}
	f.active[id] = struct{}{}
	return true
}

// End marks a running attempt as done.
func (f *Fencer) End(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, id)
	f.ended.add(id)
}

// MarkNotRun records that an attempt accepted by Begin did not run and never
// will.
func (f *Fencer) MarkNotRun(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, id)
	f.refused.add(id)
}

// Check returns the progress of an attempt. It fences an attempt that has not
// begun.
func (f *Fencer) Check(id string) schema.Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
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

func (f *Fencer) rotate() {
	now := time.Now()
	f.ended.rotate(now)
	f.refused.rotate(now)
	f.fenced.rotate(now)
}
