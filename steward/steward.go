// Package steward keeps what a node knows of the upstream beside it: which
// start of it lives, whether it takes requests, and how loaded it is.
//
// An upstream reports itself at intervals and says when it leaves. Reports may
// arrive late, twice, or from an earlier start; a start is known by its
// identifier and the time at which it was born, and its reports are numbered.
// What left never comes back. A node that has itself just started knows
// nothing of what was reported before, so it uses an upstream only after a
// health check has confirmed it.
//
// # Usage
//
//	s := steward.New(steward.Options{...})
//	go s.Run(ctx)
//	s.Report(steward.Report{...})
//	s.Leave(id, born)
//	upstream, code := s.UpstreamFor("orders")
package steward

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/forwarder"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

const (
	// slotShare is the share of an upstream's slots that requests may fill;
	// the rest is for health checks and new connections, which take a slot
	// for a moment, and some upstreams slow down when they are full.
	slotShare = 0.95
	// startSlots is the number of slots assumed until an upstream has
	// reported them.
	startSlots = 16
	// probeInterval is the time between two health checks of an upstream that
	// is not confirmed.
	probeInterval = 400 * time.Millisecond
	// look is the time between two looks whether a health check is due. A node
	// that starts gets the configuration within some ten milliseconds.
	look = 50 * time.Millisecond
	// probeTimeout bounds a health check; the check waits for a slot.
	probeTimeout = time.Second
	// lapseBeats is the number of intervals without a report after which an
	// upstream must be confirmed again. Reports may be seconds late.
	lapseBeats = 5
	// failWeight is the weight of one more request in the share that failed.
	failWeight = 0.05
	// failMemory is the time after which failures count half where no request
	// shows whether they go on.
	failMemory = 3 * time.Second
	// guardDelay is the mean wait above which the guard sheds.
	guardDelay = 40 * time.Millisecond
	// tombstones is the number of starts that left and are remembered.
	tombstones = 256
)

// Report is what an upstream says of itself.
type Report struct {
	// ID names a start of an upstream; Born is the time of that start in
	// milliseconds since the Unix epoch, zero if it is not told. An upstream
	// may start again under the same ID.
	ID   string
	Born int64
	// Number increases with each report of a start.
	Number  uint64
	Service string
	Address string
	// Slots is the number of requests that it processes at once.
	Slots    uint32
	Draining bool
	// Cold is the time for which it is still slow after its start.
	Cold time.Duration
}

// ErrUnknownCheck reports that it is not known yet how to check the health of
// an upstream.
var ErrUnknownCheck = errors.New("health check is not known")

// Prober checks the health of an upstream.
type Prober interface {
	// Probe returns the identifier of the upstream if it is well, or
	// ErrUnknownCheck.
	Probe(ctx context.Context, address string) (id string, err error)
}

// Reporter notes what is learned.
type Reporter interface {
	Notice(event string, fields ...any)
}

// Options are the parts of a steward.
type Options struct {
	Service  string
	Address  string
	Interval time.Duration
	Prober   Prober
	Reporter Reporter
	// Changed is called when the upstream begins or ends to take requests.
	Changed func()
}

// start identifies a start of an upstream.
type start struct {
	id   string
	born int64
}

// Steward knows the upstream beside a node.
type Steward struct {
	options Options

	mu       sync.RWMutex
	current  start
	number   uint64
	slots    uint32
	coldTo   time.Time
	seen     time.Time
	draining bool
	// confirmed is true once the current start was seen to be well by this
	// start of the node, and until it can't be reached.
	confirmed bool
	// proven is true once any health check has succeeded; from then on new
	// starts of the upstream are believed without one.
	proven  bool
	probed  time.Time
	failing float64
	// judged is the time of the last request that showed whether it fails.
	judged time.Time
	gate   *guard.Guard
	left   map[start]bool
	order  []start
}

// New returns a steward that knows nothing yet.
func New(o Options) *Steward {
	return &Steward{options: o, left: map[start]bool{}}
}

// Report takes in a report.
func (s *Steward) Report(r Report) {
	if s.take(r) {
		s.options.Changed()
	}
}

// take tells whether other nodes must hear of the report at once.
func (s *Steward) take(r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	who := start{r.ID, r.Born}
	if s.left[who] || r.Service != s.options.Service {
		s.options.Reporter.Notice("report_ignored", "upstream", r.ID, "born", r.Born, "service", r.Service, "left", s.left[who])
		return false
	}
	now := time.Now()
	if who != s.current {
		if r.Born < s.current.born && now.Sub(s.seen) < s.lapse() {
			s.options.Reporter.Notice("report_of_earlier_start", "upstream", r.ID, "born", r.Born, "current", s.current.id)
			return false
		}
		s.begin(who, now)
	} else if r.Number <= s.number {
		return false
	}
	ready := s.ready()
	s.number, s.seen, s.coldTo = r.Number, now, now.Add(r.Cold)
	if r.Slots > 0 && r.Slots != s.slots {
		s.slots = r.Slots
		s.gate.Resize(limitFor(r.Slots))
	}
	if r.Draining && !s.draining {
		s.drain("reported")
	}
	return ready != s.ready()
}

// begin replaces the upstream by a new start; the caller holds the lock.
func (s *Steward) begin(who start, now time.Time) {
	if s.gate != nil && s.current != (start{id: who.id}) {
		s.gate.Close()
		s.gate = nil
	}
	kept := s.confirmed && s.current == (start{id: who.id})
	s.options.Reporter.Notice("upstream_started", "upstream", who.id, "born", who.born, "before", s.current.id)
	s.current, s.number, s.seen, s.draining, s.failing = who, 0, now, false, 0
	s.confirmed = kept || s.proven
	if s.gate == nil {
		s.slots = startSlots
		s.gate = newGate(s.slots)
	}
}

func newGate(slots uint32) *guard.Guard {
	return guard.New(guard.InitialLimit(limitFor(slots)), guard.FixedLimit(), guard.QueueBelowLevel(), guard.TargetDelay(guardDelay))
}

func limitFor(slots uint32) int { return max(1, int(float64(slots)*slotShare)) }

// drain stops new work; the caller holds the lock.
func (s *Steward) drain(why string) {
	s.draining = true
	s.options.Reporter.Notice("upstream_leaving", "upstream", s.current.id, "why", why)
	if s.gate != nil {
		s.gate.Close()
	}
}

// Leave takes in that a start of the upstream is gone.
func (s *Steward) Leave(id string, born int64) {
	s.mu.Lock()
	if born == 0 && s.current.id == id {
		born = s.current.born
	}
	who := start{id, born}
	s.bury(who)
	changed := who == s.current || s.current == (start{id: id})
	if changed {
		s.bury(s.current)
		s.drain("said so")
	}
	s.mu.Unlock()
	if changed {
		s.options.Changed()
	}
}

// bury remembers that a start left; the caller holds the lock.
func (s *Steward) bury(who start) {
	if s.left[who] {
		return
	}
	s.left[who] = true
	s.order = append(s.order, who)
	if len(s.order) > tombstones {
		delete(s.left, s.order[0])
		s.order = s.order[1:]
	}
}

// Left tells whether the upstream said that it leaves.
func (s *Steward) Left() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.draining
}

func (s *Steward) lapse() time.Duration { return lapseBeats * s.options.Interval }

// ready tells whether the upstream takes requests; the caller holds the lock.
func (s *Steward) ready() bool { return s.gate != nil && s.confirmed && !s.draining }

// UpstreamFor returns the upstream, or the code of the reason why it takes no calls.
func (s *Steward) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case service != s.options.Service || s.gate == nil:
		return forwarder.Upstream{}, refuser.EndpointMissing
	case s.draining:
		return forwarder.Upstream{}, refuser.Draining
	case !s.confirmed:
		return forwarder.Upstream{}, refuser.EndpointMissing
	default:
		return forwarder.Upstream{Limiter: &load{s.gate, s}, Address: s.options.Address, ID: s.current.id}, refuser.None
	}
}

// load is a guard that tells what the steward knows besides.
type load struct {
	*guard.Guard
	steward *Steward
}

// Describe returns the load of the upstream.
func (l *load) Describe() *schema.Endpoint { return l.steward.describe(l.Guard) }

func (s *Steward) describe(g *guard.Guard) *schema.Endpoint {
	e := g.Describe()
	s.mu.RLock()
	defer s.mu.RUnlock()
	e.Service = s.options.Service
	e.Phase = schema.Phase_PHASE_READY
	if s.draining {
		e.Phase = schema.Phase_PHASE_DRAINING
	}
	e.Failing = float32(s.failing * math.Exp2(-float64(time.Since(s.judged))/float64(failMemory)))
	if cold := time.Until(s.coldTo); cold > 0 {
		e.Cold = durationpb.New(cold)
	}
	return e
}

// Endpoints returns the upstream if it takes requests.
func (s *Steward) Endpoints() []*schema.Endpoint {
	s.mu.RLock()
	ready, gate := s.ready(), s.gate
	s.mu.RUnlock()
	if !ready {
		return nil
	}
	return []*schema.Endpoint{s.describe(gate)}
}

// Observe learns how the upstream took a request.
func (s *Steward) Observe(_ string, o forwarder.Observation) {
	s.mu.Lock()
	failed := o != forwarder.Succeeded
	s.judged = time.Now()
	s.failing *= 1 - failWeight
	if failed {
		s.failing += failWeight
	}
	lost := s.confirmed && (o == forwarder.Unreachable || o == forwarder.Reassigned)
	if lost {
		s.confirmed, s.proven = false, false
		s.options.Reporter.Notice("upstream_lost", "upstream", s.current.id, "reassigned", o == forwarder.Reassigned,
			"report_age", time.Since(s.seen))
	}
	s.mu.Unlock()
	if lost {
		s.options.Changed()
	}
}

// Run confirms the upstream by health checks where that is needed, until the
// context ends.
func (s *Steward) Run(ctx context.Context) {
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	for {
		if s.needsProbe() {
			s.probe(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// needsProbe tells whether a health check is due.
func (s *Steward) needsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed && !s.draining && !s.seen.IsZero() && time.Since(s.seen) > s.lapse() {
		s.options.Reporter.Notice("upstream_silent", "upstream", s.current.id, "report_age", time.Since(s.seen))
		s.confirmed, s.proven = false, false
	}
	return !s.confirmed && !s.draining && time.Since(s.probed) >= probeInterval
}

func (s *Steward) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	id, err := s.options.Prober.Probe(ctx, s.options.Address)
	if errors.Is(err, ErrUnknownCheck) {
		return
	}
	s.mu.Lock()
	s.probed = time.Now()
	s.mu.Unlock()
	if err != nil || id == "" {
		return
	}
	if s.confirm(id) {
		s.options.Changed()
	}
}

// confirm takes in that an upstream is well, and tells whether that is news.
func (s *Steward) confirm(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && s.current.id == id {
		return false
	}
	if s.current.id != id {
		s.begin(start{id: id}, time.Now())
	}
	s.seen = time.Now()
	s.confirmed, s.proven = true, true
	s.options.Reporter.Notice("upstream_confirmed", "upstream", id)
	return true
}
