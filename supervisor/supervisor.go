// Package supervisor tracks the local upstream of a node: its current instance,
// whether it accepts requests, and its load.
//
// An upstream sends a report at intervals and a notice when it leaves. Reports may
// arrive late, twice, or from an earlier instance. An instance is identified by
// its identifier and its start time, and its reports carry a sequence number. An
// instance that has left is never used again. A node uses an upstream only after a report
// has stated its service and a health check has confirmed it. What earlier processes of the
// node have learned comes from Recall and from the Memory.
//
// An upstream may also state in its responses that it leaves, or how many requests
// per second it accepts.
//
// An upstream is cold for some time after its start, and may turn cold again. Reports and
// health checks tell; meanwhile it counts as cold from the first sign on that it may have
// started anew, and gets no more requests than a cold one bears.
//
// # Usage
//
//	s := supervisor.New(supervisor.Options{...})
//	go s.Run(ctx)
//	s.Report(supervisor.Report{...})
//	s.Leave(id, born)
//	upstream, code := s.UpstreamFor("orders")
package supervisor

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
	// slotShare is the share of an upstream's slots that requests may occupy. The
	// rest is left for health checks and new connections, which occupy a slot
	// briefly; some upstreams also slow down when all slots are occupied.
	slotShare = 0.95
	// initialSlots is the number of slots assumed until an upstream reports it.
	initialSlots = 16
	// probeInterval is the time between two health checks of an upstream that
	// is not confirmed.
	probeInterval = 400 * time.Millisecond
	// probePollInterval is the interval for checking whether a health check is
	// due. It is short because a starting node gets the configuration within tens
	// of milliseconds.
	probePollInterval = 50 * time.Millisecond
	// silencePollInterval is the interval for checking whether a confirmed upstream is
	// silent.
	silencePollInterval = 200 * time.Millisecond
	// probeTimeout bounds a health check, including its wait for a slot.
	probeTimeout = time.Second
	// silentIntervals is the number of report intervals without a report after
	// which an upstream must be confirmed again. Reports may be seconds late.
	silentIntervals = 5
	// failureWeight is the weight of a new outcome in the exponential moving average
	// of failures.
	failureWeight = 0.05
	// failureHalfLife is the half-life of the failure ratio while no request
	// updates it.
	failureHalfLife = 3 * time.Second
	// guardDelay is the mean queueing delay above which the guard sheds load.
	guardDelay = 40 * time.Millisecond
)

// Report is a status report of an upstream.
type Report struct {
	// ID identifies an instance of an upstream. Born is the start time of the
	// instance in milliseconds since the Unix epoch, or zero if unknown. An
	// upstream may restart under the same ID.
	ID   string
	Born int64
	// Sequence increases with each report of an instance.
	Sequence uint64
	Service  string
	Address  string
	// Slots is the number of requests that the instance processes concurrently.
	Slots    uint32
	Draining bool
	// Cold is the remaining time for which the instance is slow after its start.
	Cold time.Duration
	// ColdUnknown is true if the report does not state Cold.
	ColdUnknown bool
}

// ErrNoHealthCheck means that the health check of an upstream is not configured
// yet.
var ErrNoHealthCheck = errors.New("health check is not configured yet")

// Prober checks the health of an upstream.
type Prober interface {
	// Probe returns what a healthy upstream states about itself, and the ID of one that is
	// not healthy with an error. It returns ErrNoHealthCheck if the health check is not
	// configured yet.
	Probe(ctx context.Context, address string) (Health, error)
}

// Health is the response of an upstream to a health check.
type Health struct {
	// ID identifies the instance; it is empty if the upstream did not state it.
	ID     string
	Status forwarder.UpstreamStatus
	// Cold is the remaining time for which the instance is cold.
	Cold time.Duration
}

// Memory remembers instances beyond the end of this process, in that the other nodes
// remember them too. An instance is given by its identifier and start time, as in a
// Report.
type Memory interface {
	Departed(id string, born int64) bool
	RecordDeparture(id string, born int64)
	// Rate returns the requests per second that an instance accepts, or zero.
	Rate(id string, born int64) float64
	RecordRate(id string, born int64, perSecond float64)
}

// Reporter logs events.
type Reporter interface {
	Notice(event string, fields ...any)
	// Event is like Notice, for events whose rate others determine.
	Event(event string, fields ...any)
}

// Options are the settings and dependencies of a Supervisor.
type Options struct {
	Service  string
	Address  string
	Interval time.Duration
	Prober   Prober
	Memory   Memory
	Reporter Reporter
	// Warmups provides what cold upstreams bear, and Bound how many requests may reach
	// one in a second. Warmups may be nil.
	Warmups Warmups
	Bound   Bound
	// OnChange is called when the upstream starts or stops accepting requests.
	OnChange func()
}

// instance identifies an instance of an upstream.
type instance struct {
	id   string
	born int64
}

// Supervisor tracks the local upstream of a node.
type Supervisor struct {
	options Options

	mu           sync.RWMutex
	current      instance
	lastSequence uint64
	slots        uint32
	warmth       warmth
	losses       losses
	lastSeen     time.Time
	// reportedAt is when the current start was last stated.
	reportedAt time.Time
	draining   bool
	// confirmed is true once a health check has found the current instance healthy,
	// or at its first report if trustReports is set. It becomes false when the
	// instance is unreachable, silent or replaced at its address.
	confirmed bool
	// trustReports is true from the first successful health check until confirmed
	// becomes false. Meanwhile new instances need no health check.
	trustReports bool
	// reported is true once a report has named the service of the current instance. A
	// health check states no service.
	reported   bool
	statements statements
	occupant   occupant
	// doubted is true while only a report after settledAt can prove that the current
	// instance is there. Then a health check confirms it if it began after that report.
	doubted      bool
	settledAt    time.Time
	lastProbe    time.Time
	failureRatio float64
	// lastOutcome is the time of the last update of failureRatio.
	lastOutcome time.Time
	rejections  rejections
	guard       *guard.Guard
	// rateLimit is the number of requests per second that the current instance
	// accepts, or zero if it states no limit. It is as of rateLimitAt.
	rateLimit   float64
	rateLimitAt time.Time
	// responses counts the responses since rateLoggedAt.
	responses    int
	rateLoggedAt time.Time
	// lost receives a value when confirmed becomes false outside of Run.
	lost chan struct{}
}

// New returns a Supervisor without an upstream instance.
func New(o Options) *Supervisor {
	return &Supervisor{options: o, lost: make(chan struct{}, 1)}
}

// Report applies a report of the upstream.
func (s *Supervisor) Report(r Report) {
	if s.isValidID(r.ID, "report") && s.applyReport(r) {
		s.options.OnChange()
	}
}

// applyReport applies a report and reports whether the readiness of the upstream
// changed, which other nodes must learn at once.
func (s *Supervisor) applyReport(r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := instance{r.ID, r.Born}
	now := time.Now()
	isEarlier := !s.record(r, now)
	left, foreign := s.options.Memory.Departed(r.ID, r.Born), r.Service != s.options.Service
	s.claim(reported, !isEarlier && !left && !foreign, now)
	if left || foreign {
		s.options.Reporter.Notice("report_ignored", "upstream", r.ID, "born", r.Born, "service", r.Service, "left", left)
		return foreign && s.rejectForeign(reported)
	}
	if reported != s.current {
		if isEarlier || r.Born < s.current.born && now.Sub(s.reportedAt) < s.silenceTimeout() {
			s.options.Reporter.Notice("report_of_earlier_start", "upstream", r.ID, "born", r.Born, "current", s.current.id)
			return r.Draining && s.leave(reported, "reported")
		}
		found := s.current == instance{id: r.ID}
		s.replaceInstance(reported, now)
		if r.ColdUnknown && !found && s.warmup().Intake > 0 {
			s.setCold(now.Add(s.warmup().Time), "started", now)
		}
	} else if r.Sequence <= s.lastSequence {
		return r.Draining && s.leave(reported, "reported")
	}
	ready := s.ready()
	s.suspectUnnoticed(now)
	s.settleDoubt(now)
	s.reported, s.reportedAt = true, now
	s.lastSequence, s.lastSeen, s.warmth.heardAt = r.Sequence, now, now
	if !r.ColdUnknown {
		s.reportedCold(r.Cold, now)
	}
	if r.Slots > 0 && r.Slots != s.slots {
		s.slots = r.Slots
		s.guard.Resize(limitFor(r.Slots))
	}
	if r.Draining {
		s.leave(reported, "reported")
	}
	return ready != s.ready()
}

// rejectForeign stops the use of an instance that belongs to another service. It reports
// whether the upstream stopped accepting requests: a health check may have found that
// instance at the address. A report of the same ID for the service of the node has
// precedence, since reports may come from other writers. The caller holds the lock.
func (s *Supervisor) rejectForeign(i instance) bool {
	if s.current.id != i.id || s.reported {
		return false
	}
	ready := s.ready()
	s.loseConfirmation("instance of another service")
	return ready
}

// loseConfirmation stops the use of the current instance until it is confirmed again. The
// caller holds the lock.
func (s *Supervisor) loseConfirmation(reason string) {
	s.confirmed, s.trustReports = false, false
	s.suspectCold(reason)
	s.options.Reporter.Notice("upstream_lost", "upstream", s.current.id, "why", reason, "report_age", time.Since(s.lastSeen))
}

// replaceInstance makes next the current instance. The caller holds the lock.
func (s *Supervisor) replaceInstance(next instance, now time.Time) {
	// The start time of an instance found by a health check is not known at first.
	sameInstance := s.current == (instance{id: next.id})
	if s.guard != nil && !sameInstance {
		s.guard.Close()
		s.guard = nil
	}
	s.options.Reporter.Notice("upstream_started", "upstream", next.id, "born", next.born, "before", s.current.id)
	s.confirmed = s.confirmed && sameInstance || s.trustReports
	s.draining, s.reported, s.doubted = s.draining && sameInstance, false, false
	s.current, s.lastSequence, s.lastSeen, s.failureRatio = next, 0, now, 0
	s.rejections = rejections{}
	s.warmth.heardAt = now
	if s.draining {
		s.options.Memory.RecordDeparture(next.id, next.born)
	}
	if s.guard == nil {
		s.slots = initialSlots
		s.guard = newGuard(s.slots)
		s.rateLimit, s.rateLimitAt = 0, time.Time{}
		// What was known of the instance before does not hold for this one.
		s.warmth.coldUntil, s.warmth.evidenceAt, s.warmth.checkDue = time.Time{}, time.Time{}, false
	}
	s.recallRate(now)
}

func newGuard(slots uint32) *guard.Guard {
	return guard.New(guard.InitialLimit(limitFor(slots)), guard.FixedLimit(), guard.QueueBelowLevel(), guard.TargetDelay(guardDelay))
}

func limitFor(slots uint32) int { return max(1, int(float64(slots)*slotShare)) }

// drain stops accepting requests. The caller holds the lock.
func (s *Supervisor) drain(reason string) {
	s.draining = true
	s.options.Reporter.Notice("upstream_leaving", "upstream", s.current.id, "why", reason)
	if s.guard != nil {
		s.guard.Close()
	}
}

// Refresh applies what other nodes have remembered of the current instance.
func (s *Supervisor) Refresh() {
	s.mu.Lock()
	changed := false
	if s.guard != nil {
		s.recallRate(time.Now())
		changed = s.options.Memory.Departed(s.current.id, s.current.born) && s.leave(s.current, "remembered by another node")
	}
	s.mu.Unlock()
	if changed {
		s.options.OnChange()
	}
}

// Draining reports whether the upstream has announced that it leaves.
func (s *Supervisor) Draining() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.draining
}

// silenceTimeout is the time without a report after which the upstream must be
// confirmed again.
func (s *Supervisor) silenceTimeout() time.Duration { return silentIntervals * s.options.Interval }

// ready reports whether the upstream accepts requests. The caller holds the lock.
func (s *Supervisor) ready() bool { return s.guard != nil && s.confirmed && !s.draining }

// UpstreamFor returns the upstream of a service, or the code that says why it
// accepts no calls.
func (s *Supervisor) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	s.checkUnnoticed()
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case service != s.options.Service || s.guard == nil:
		return forwarder.Upstream{}, refuser.EndpointMissing
	case s.draining:
		return forwarder.Upstream{}, refuser.Draining
	case !s.confirmed:
		return forwarder.Upstream{}, refuser.EndpointMissing
	default:
		return forwarder.Upstream{Limiter: &upstreamGuard{s.guard, s}, Address: s.options.Address, ID: s.current.id, Born: s.current.born}, refuser.None
	}
}

// upstreamGuard is a guard whose description includes what the supervisor knows of
// the upstream.
type upstreamGuard struct {
	*guard.Guard
	supervisor *Supervisor
}

// Describe returns the load and status of the upstream.
func (u *upstreamGuard) Describe() *schema.Endpoint { return u.supervisor.describe(u.Guard) }

func (s *Supervisor) describe(g *guard.Guard) *schema.Endpoint {
	e := g.Describe()
	s.mu.RLock()
	defer s.mu.RUnlock()
	e.Service = s.options.Service
	e.Instance = &schema.Instance{Id: s.current.id, Born: s.current.born}
	e.Phase = schema.Phase_PHASE_READY
	if s.draining {
		e.Phase = schema.Phase_PHASE_DRAINING
	}
	e.Failing = float32(s.failureRatio * math.Exp2(-float64(time.Since(s.lastOutcome))/float64(failureHalfLife)))
	e.Rejecting = float32(s.rejections.share(time.Now()))
	if cold := time.Until(s.warmth.coldUntil); cold > 0 {
		e.Cold, e.Intake = durationpb.New(cold), s.warmup().Intake
	}
	return e
}

// Endpoints returns the upstream if it accepts requests.
func (s *Supervisor) Endpoints() []*schema.Endpoint {
	s.mu.RLock()
	ready, g := s.ready(), s.guard
	s.mu.RUnlock()
	if !ready {
		return nil
	}
	return []*schema.Endpoint{s.describe(g)}
}

// Observe records the outcome of a request to the upstream.
func (s *Supervisor) Observe(_ string, o forwarder.Observation) {
	s.mu.Lock()
	failed := o != forwarder.Succeeded
	s.lastOutcome = time.Now()
	s.rejections.add(o == forwarder.Rejected, s.lastOutcome)
	s.failureRatio *= 1 - failureWeight
	if failed {
		s.failureRatio += failureWeight
	}
	lost := s.confirmed && (o == forwarder.Unreachable || o == forwarder.Reassigned)
	if lost {
		reason := "unreachable"
		if o == forwarder.Reassigned {
			reason = "another instance has its address"
		}
		s.loseConfirmation(reason)
	}
	switch {
	case o == forwarder.Lost:
		if s.losses.add(s.lastOutcome, s.activeRequests()) {
			s.suspectCold("connections lost")
		}
	case o == forwarder.Succeeded || o == forwarder.Rejected:
		s.warmth.heardAt = s.lastOutcome
	}
	due := s.warmth.checkDue
	s.mu.Unlock()
	if lost || due {
		s.wake()
	}
	if lost {
		s.options.OnChange()
	}
}

// ObserveStatus records what an instance stated about itself in a response.
func (s *Supervisor) ObserveStatus(id string, born int64, status forwarder.UpstreamStatus) {
	if !s.isValidID(id, "response") {
		return
	}
	s.mu.Lock()
	stated := instance{id, born}
	changed := status.Leaving && s.leave(stated, "stated in a response")
	if stated == s.current || stated == (instance{id: s.current.id}) {
		s.observeRate(status.RateLimit, time.Now())
		s.losses.answered(status.Sent)
	}
	s.mu.Unlock()
	if changed {
		s.options.OnChange()
	}
}
