// Package pacer spaces out the copying of large bodies, so that a process on few processors
// has time for short requests in between. Without pauses, goroutines that copy are always
// runnable, and the runtime looks for new input only every 10 ms.
//
// # Usage
//
//	p := pacer.New()
//	s := p.Open(length)
//	defer s.Close()
//	if p.Foresee() > left { refuse the body }
//	for each part that was copied { s.Add(n) }
package pacer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// turnBytes is the number of bytes that are copied in a turn, if the pause before it is as
// short as usual.
const turnBytes = 64 << 10

// IsLong reports whether a copy of a length needs a stream. A negative length is an unknown one.
func IsLong(length int64) bool { return length < 0 || length >= turnBytes }

const (
	// pause is the time between two turns, and usualPause what becomes of it, since timers of
	// the system are coarse.
	pause, usualPause = 100 * time.Microsecond, 150 * time.Microsecond
	// maxTurnBytes limits a turn after a longer pause.
	maxTurnBytes = 1 << 20
	// rateWeight is the weight of one turn in the mean time of a turn.
	rateWeight = 1.0 / 32
)

// Pacer gives turns to copies, first to those that began first: if there is not enough time
// for all, some still end in time. A nil Pacer never waits.
type Pacer struct {
	mu sync.Mutex
	// taken is true while a copy has the turn, and waiting holds the others that ask for it.
	taken   bool
	waiting []*Stream
	// opened is the number of streams so far.
	opened uint64
	// turnEnd is the end of the last turn.
	turnEnd time.Time
	// pending is the number of bytes that open streams have still to copy, as far as known.
	pending int64
	// turnTime is the mean time in which turnBytes are copied while others wait.
	turnTime time.Duration
}

// New returns a Pacer.
func New() *Pacer { return &Pacer{turnTime: 4 * pause} }

// Foresee returns the time after which all open streams will have ended.
func (p *Pacer) Foresee() time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.pending/turnBytes) * p.turnTime
}

// Open returns the stream of one copy. A negative length is an unknown one.
func (p *Pacer) Open(length int64) *Stream {
	s := &Stream{pacer: p, left: max(length, 0), turn: make(chan struct{}, 1), allowed: turnBytes}
	if p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.opened++
		s.number = p.opened
		p.pending += s.left
	}
	return s
}

// takeTurn waits for the turn of a stream and for the pause that goes with it. It returns the
// number of bytes of the turn, which makes up for a pause that was longer than usual.
func (p *Pacer) takeTurn(s *Stream) int {
	contended := p.request(s)
	if contended {
		<-s.turn
	}
	began := time.Now()
	time.Sleep(pause)
	now := time.Now()
	bytes := min(max(turnBytes, int(float64(now.Sub(began))/float64(usualPause)*turnBytes)), maxTurnBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	if contended {
		sample := float64(now.Sub(p.turnEnd)) * turnBytes / float64(bytes)
		p.turnTime += time.Duration((sample - float64(p.turnTime)) * rateWeight)
	}
	p.turnEnd = now
	p.passTurn()
	return bytes
}

// request takes the turn if it is free. Otherwise it adds the stream to those that wait, and
// returns true.
func (p *Pacer) request(s *Stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.taken {
		p.taken = true
		return false
	}
	p.waiting = append(p.waiting, s)
	return true
}

// passTurn gives the turn to the stream that began first. The caller holds the lock.
func (p *Pacer) passTurn() {
	if len(p.waiting) == 0 {
		p.taken = false
		return
	}
	first := slices.MinFunc(p.waiting, func(a, b *Stream) int { return cmp.Compare(a.number, b.number) })
	p.waiting = slices.DeleteFunc(p.waiting, func(s *Stream) bool { return s == first })
	first.turn <- struct{}{}
}

// Stream is one copy in progress.
type Stream struct {
	pacer *Pacer
	// left is the number of bytes still to copy, as far as known.
	left int64
	// number is that of the stream in the order of their begin.
	number uint64
	// turn receives a value when it is the turn of the stream.
	turn chan struct{}
	// allowed is the number of bytes that may be copied before the next turn.
	allowed int
}

// Add records copied bytes. It waits for the next turn once there are enough of them. A nil
// Stream never waits.
func (s *Stream) Add(bytes int) {
	if s == nil || s.pacer == nil {
		return
	}
	s.addPending(-min(int64(bytes), s.left))
	s.left -= min(int64(bytes), s.left)
	if s.allowed -= bytes; s.allowed <= 0 {
		s.allowed = s.pacer.takeTurn(s)
	}
}

// Close ends the copy.
func (s *Stream) Close() {
	if s == nil {
		return
	}
	s.addPending(-s.left)
	s.left = 0
}

func (s *Stream) addPending(bytes int64) {
	if s.pacer == nil {
		return
	}
	s.pacer.mu.Lock()
	defer s.pacer.mu.Unlock()
	s.pacer.pending += bytes
}
