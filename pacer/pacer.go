// Package pacer spaces out the copying of large bodies, so that a process on few processors
// has time for short requests in between. Without pauses, goroutines that copy are always
// runnable, and the runtime looks for new input only every 10 ms.
//
// # Usage
//
//	p := pacer.New()
//	s := p.Open(length)
//	defer s.Close()
//	for !s.Start() { wait, or refuse the copy if s.Foresee() > timeLeft }
//	for each part that was copied { s.Add(n) }
package pacer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"quetzalhub/util/set"
)

// turnBytes is the number of bytes that are copied in a turn, if the pause before it is as
// short as usual.
const turnBytes = 64 << 10

// IsLong reports whether a copy of a length needs a stream. A negative length is an unknown one.
func IsLong(length int64) bool { return length < 0 || length >= turnBytes }

const (
	// pause is the time between two turns, and usualPause what becomes of it, since timers of
	// the system are coarse. The pause is several times as long as a turn takes, so that the
	// processor is idle in between also if two streams of each request are copied.
	pause, usualPause = 500 * time.Microsecond, 600 * time.Microsecond
	// activeTime is the time after its last turn for which a stream counts as one that goes on
	// asking for turns. Slow senders do not delay others.
	activeTime = 250 * time.Millisecond
	// firstBytes is the number of bytes that a stream copies before its first turn. Many may
	// begin at once.
	firstBytes = 16 << 10
	// maxTurnBytes limits a turn after a longer pause.
	maxTurnBytes = 1 << 20
	// maxStarted is the number of streams that are copied at once while turns are scarce, and
	// scarceShare the share of turns that had to be waited for from which they are.
	maxStarted, scarceShare = 2, 0.5
	// scarceWeight is the weight of one turn in that share.
	scarceWeight = 1.0 / 16
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
	// waitedShare is the share of turns that had to be waited for.
	waitedShare float64
	// open holds the open streams.
	open set.Set[*Stream]
	// turnTime is the mean time in which turnBytes are copied while others wait.
	turnTime time.Duration
}

// New returns a Pacer.
func New() *Pacer { return &Pacer{turnTime: usualPause, open: set.Of[*Stream]()} }

// Open returns the stream of one copy. A negative length is an unknown one.
func (p *Pacer) Open(length int64) *Stream {
	s := &Stream{pacer: p, left: max(length, 0), turn: make(chan struct{}, 1), allowed: firstBytes}
	if p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.opened++
		s.number = p.opened
		p.open.Add(s)
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
	s.lastTurn = time.Now()
	if !p.taken {
		p.taken = true
		p.waitedShare -= p.waitedShare * scarceWeight
		return false
	}
	p.waitedShare += (1 - p.waitedShare) * scarceWeight
	s.waits = true
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
	first.waits, first.lastTurn = false, p.turnEnd
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
	// waits is true while the stream waits for its turn, and lastTurn is when it last asked for
	// one or got it.
	waits    bool
	lastTurn time.Time
	// queued is true once the stream has asked to start, and started once it may.
	queued, started bool
	// allowed is the number of bytes that may be copied before the next turn.
	allowed int
}

// Add records copied bytes. It waits for the next turn once there are enough of them. A nil
// Stream never waits.
func (s *Stream) Add(bytes int) {
	if s == nil || s.pacer == nil {
		return
	}
	s.advance(int64(bytes))
	if s.allowed -= bytes; s.allowed <= 0 {
		s.allowed = s.pacer.takeTurn(s)
	}
}

// Start reports whether the stream may be copied whole. While turns are scarce a few streams at
// a time may, those that began first before others.
func (s *Stream) Start() bool {
	if s == nil || s.pacer == nil {
		return true
	}
	p := s.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	s.queued = true
	active, now := 0, time.Now()
	for other := range p.open {
		switch {
		case other.queued && !other.started && other.number < s.number:
			return false
		case other.started && other.isActive(now):
			active++
		}
	}
	s.started = active < maxStarted || p.waitedShare < scarceShare
	return s.started
}

// isActive reports whether the stream goes on asking for turns. The caller holds the lock.
func (s *Stream) isActive(now time.Time) bool { return s.waits || now.Sub(s.lastTurn) < activeTime }

// Foresee returns the time after which the stream will have ended, beside those that began
// before and wait to start or go on asking for turns.
func (s *Stream) Foresee() time.Duration {
	if s == nil || s.pacer == nil {
		return 0
	}
	p := s.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes, now := s.left, time.Now()
	for other := range p.open {
		if other.number < s.number && (other.queued && !other.started || other.isActive(now)) {
			bytes += other.left
		}
	}
	return time.Duration(bytes/turnBytes) * p.turnTime
}

// Close ends the copy.
func (s *Stream) Close() {
	if s == nil || s.pacer == nil {
		return
	}
	s.pacer.mu.Lock()
	defer s.pacer.mu.Unlock()
	delete(s.pacer.open, s)
}

// advance records copied bytes.
func (s *Stream) advance(bytes int64) {
	s.pacer.mu.Lock()
	defer s.pacer.mu.Unlock()
	s.left -= min(bytes, s.left)
}
