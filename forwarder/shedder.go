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
	// levelWeight is the weight of a new level in the exponential moving average.
	levelWeight = 0.2
	// levelHalfLife is the half-life of the average without new levels.
	levelHalfLife = time.Second
)

// shedder sheds at the entry the requests that a later node on the path would
// shed anyway. It relies on the levels reported with earlier responses of the
// same route, kept as an exponential moving average.
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

// newShedder returns a shedder that admits all requests until a level above zero is
// reported.
func newShedder() *shedder { return &shedder{levels: map[shedKey]*shedLevel{}} }

// Admit returns a ShedAtEntry refusal if the priority of a call is below the
// average level.
func (s *shedder) Admit(c *Call, class schema.Class, rank uint32) error {
	if s.admits(c, guard.Priority(class, rank)) {
		return nil
	}
	return &refuser.Error{Code: refuser.ShedAtEntry, Detail: refuser.Detail{RetryAfter: time.Second}}
}

// ObserveCall records the level reported with the response to a call.
func (s *shedder) ObserveCall(c *Call) { s.update(c, c.Parent.Pressure.Level()) }

// admits reports whether a priority reaches the average level.
func (s *shedder) admits(c *Call, priority uint32) bool {
	l := s.level(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(priority) >= math.Floor(l.decayed(time.Now()))
}

// update adds a reported level to the average.
func (s *shedder) update(c *Call, level uint32) {
	l := s.level(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	mean := l.decayed(now)
	l.mean = mean + levelWeight*(float64(level)-mean)
	l.updated = now
}

// decayed returns the average at the given time. The caller holds l.mu.
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
