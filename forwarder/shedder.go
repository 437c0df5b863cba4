package forwarder

import (
	"math"
	"sync"
	"time"

	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

const (
	// shedWeight is the weight of a new level in the mean of a route.
	levelWeight = 0.2
	// shedHalfLife is the time in which a level that is not renewed halves.
	levelHalfLife = time.Second
)

// shedder refuses requests at the entry that would be shed below, by the
// levels that travelled back with earlier answers of the same route.
type shedder struct {
	mu     sync.RWMutex
	levels map[shedKey]*shedLevel
}

type shedKey struct {
	host    string
	prefix  string
	service string
}

type shedLevel struct {
	mu      sync.Mutex
	mean    float64
	updated time.Time
}

// newShedder returns a shedder that refuses nothing.
func newShedder() *shedder { return &shedder{levels: map[shedKey]*shedLevel{}} }

// Admit refuses a call whose priority is not likely to pass.
func (s *shedder) Admit(c *Call, class schema.Class, rank uint32) error {
	if s.admits(c, guard.Priority(class, rank)) {
		return nil
	}
	return &refuser.Error{Code: refuser.ShedAtEntry, Detail: refuser.Detail{Retry: time.Second}}
}

// ObserveCall records the level that came back with the answer to a call.
func (s *shedder) ObserveCall(c *Call) { s.update(c, c.Parent.Pressure.Level()) }

// admits tells whether a priority is likely to pass.
func (s *shedder) admits(c *Call, priority uint32) bool {
	l := s.level(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(priority) >= math.Floor(l.decayed(time.Now()))
}

// learn records the level that came back with an answer.
func (s *shedder) update(c *Call, level uint32) {
	l := s.level(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	mean := l.decayed(now)
	l.mean = mean + levelWeight*(float64(level)-mean)
	l.updated = now
}

func (l *shedLevel) decayed(now time.Time) float64 {
	if l.mean == 0 {
		return 0
	}
	age := now.Sub(l.updated)
	return l.mean * math.Exp2(-float64(age)/float64(levelHalfLife))
}

func (s *shedder) level(c *Call) *shedLevel {
	key := shedKey{c.Route.Host, c.Route.Prefix, c.Service}
	s.mu.RLock()
	l := s.levels[key]
	s.mu.RUnlock()
	if l != nil {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.levels[key] == nil {
		s.levels[key] = &shedLevel{}
	}
	return s.levels[key]
}
