package forwarder

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"quetzalhub/accountant"
	"quetzalhub/guard"
	"quetzalhub/pacer"
	"quetzalhub/quarantiner"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
)

// Upstreams provides the local upstream.
type Upstreams interface {
	// UpstreamFor returns the upstream of a service, or the refusal code if it
	// accepts no calls.
	UpstreamFor(service string) (Upstream, refuser.Code)
}

// Upstream is the local upstream.
type Upstream struct {
	Limiter ConcurrencyLimiter
	Address string
	// ID and Born, its start time in milliseconds since the Unix epoch, identify the
	// current instance of the upstream. They may be empty.
	ID   string
	Born int64
}

// Fencer records attempts, so that an attempt that was reported as not run
// cannot run later.
type Fencer interface {
	Begin(id string) bool
	End(id string)
	MarkNotRun(id string)
	// Check returns the progress of an attempt.
	Check(id string) schema.Progress
}

// RelayOptions holds the dependencies and settings of a Relay.
type RelayOptions struct {
	Identity  Identity
	Upstreams Upstreams
	// Barred returns the refusal code if the upstream may receive no call, as is checked
	// again once a call has waited for its slot. It may be nil.
	Barred    func() refuser.Code
	Fencer    Fencer
	Tracker   *tracker.Tracker
	Refuser   *refuser.Refuser
	Transport http.RoundTripper
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// Accountant bounds the memory for bodies and responses. It may be nil.
	Accountant *accountant.Accountant
	// Pacer spaces out the copying of large bodies. It may be nil.
	Pacer   *pacer.Pacer
	Dialect Dialect
	// State provides the regions of routes and workspaces, and Region is that of this node.
	// State may be nil.
	State  State
	Region string
	// DeadlineGrace is the time after the deadline in which the upstream can
	// still respond that the deadline has passed.
	DeadlineGrace time.Duration
	// Observer records the results of calls to the upstream. It may be nil.
	Observer UpstreamObserver
	// Lifetime limits calls to the time until a planned stop. It may be nil.
	Lifetime *Lifetime
	// Reporter records calls that got no response of the upstream.
	Reporter Reporter
	// Quarantine remembers the requests that ran in the upstream when it crashed. The
	// default is an own one.
	Quarantine Quarantine
	// OnCrash is called after a crash of the upstream was recorded there. It may be nil.
	OnCrash func()
	// ObserveQueueTime receives the time for which each call waited for a slot
	// of the concurrency limiter. It may be nil.
	ObserveQueueTime func(time.Duration)
	// SlotTime returns the mean time that a request of a route takes at the upstreams
	// of a service, or zero if it is not known. It may be nil.
	SlotTime func(route, service string) time.Duration
}

// UpstreamObserver records the results of calls to the local upstream.
type UpstreamObserver interface {
	Observe(service string, o Observation)
	// ObserveStatus records what an instance of the upstream, given by its ID and
	// start time, stated about itself in a response.
	ObserveStatus(id string, born int64, s UpstreamStatus)
	// RecordSuccess records a request that succeeded: the time for which it held
	// its slot, the calls by route that it made, and as inferredCalls the calls
	// that either it or a similar request made.
	RecordSuccess(route string, slotTime time.Duration, calls, inferredCalls map[string]int)
	// RecordFailure records the same for a request that did not succeed.
	RecordFailure(route string, slotTime time.Duration, calls, inferredCalls map[string]int)
}

// Observation is the result of sending a request to an upstream.
type Observation int

// Results of sending a request to an upstream.
const (
	Succeeded Observation = iota
	Failed
	Unreachable
	// Rejected means that the upstream answered that it did not run the request.
	Rejected
	// Reassigned means that the address now belongs to another upstream.
	Reassigned
	// Lost means that the connection ended without an answer, although the upstream
	// accepts others. It may have started anew.
	Lost
)

// Relay handles calls from other nodes and sends them to the upstream.
type Relay struct {
	options  RelayOptions
	isolator *isolator
}

// NewRelay returns the handler for calls from other nodes.
func NewRelay(o RelayOptions) *Relay {
	if o.Quarantine == nil {
		o.Quarantine = quarantiner.New()
	}
	if o.SlotTime == nil {
		o.SlotTime = func(string, string) time.Duration { return 0 }
	}
	if o.Barred == nil {
		o.Barred = func() refuser.Code { return refuser.None }
	}
	if o.OnCrash == nil {
		o.OnCrash = func() {}
	}
	return &Relay{options: o, isolator: newIsolator(o.Quarantine, o.Identity, o.OnCrash, o.Reporter)}
}

// relayCall is the state of a call from another node.
type relayCall struct {
	envelope *schema.Envelope
	// compact is true if the sender accepts compact reports.
	compact  bool
	request  *tracker.Request
	body     Body
	loan     *accountant.Loan
	ticket   string
	upstream Upstream
	// offered is true if the upstream may have seen the call.
	offered bool
	// isolated is true while the call runs as the only isolated one, and cleared once
	// the upstream has answered it.
	isolated, cleared bool
	// snapshot is the configuration in force when the call came.
	snapshot *resolver.Snapshot
	// suspicion is set if the upstream has crashed under the call, or if the call is held.
	suspicion *schema.Suspicion
}

// requestID returns the identifier that the caller has given to the request.
func (rc *relayCall) requestID() string { return string(rc.envelope.GetRequest()) }

// ServeHTTP sends a call to the upstream, or refuses it. The report in the
// response header states whether the call has run.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	rc := &relayCall{envelope: &schema.Envelope{}, snapshot: r.snapshot()}
	text := req.Header.Get(HeaderEnvelope)
	if !decodeHeader(text, rc.envelope) {
		r.options.Refuser.Refuse(w, refuser.BadRequest, refuser.Detail{Note: "The envelope header is missing or malformed."})
		return
	}
	if rc.compact = isCompact(text); rc.compact {
		req.Header[headerMethod] = []string{cmp.Or(rc.envelope.GetMethod(), req.Method)}
	}
	r.options.Dialect.SetResponseHeaders(w.Header(), rc.requestID())
	if code := r.accept(rc); code != refuser.None {
		r.refuse(w, rc, code)
		return
	}
	rc.loan = r.options.Accountant.Open(rc.request.Workspace, rc.request.Class)
	defer rc.loan.Close()
	reader := &bodyReader{
		request: req, writer: w, loan: rc.loan, pacer: r.options.Pacer, keep: r.options.MaxBodyBytes, limit: r.options.MaxBodyBytes,
		deadline: rc.request.Deadline, noRoom: refuser.PeerMemoryFull,
	}
	var err error
	if rc.body, err = r.readBody(reader, rc.envelope.GetDigest()); err != nil {
		r.options.Fencer.MarkNotRun(rc.envelope.GetAttempt())
		r.refuse(w, rc, refuser.CodeOf(err))
		return
	}
	defer reader.close()
	r.run(w, req, rc)
}

// readBody reads a body whole, unless the sender passes it on as it arrives and states its
// digest.
func (r *Relay) readBody(b *bodyReader, digest []byte) (Body, error) {
	if len(digest) == 0 {
		return b.read()
	}
	return b.open(digest)
}

// accept checks whether a call may run at this node and registers the attempt.
func (r *Relay) accept(rc *relayCall) refuser.Code {
	e := rc.envelope
	if _, incarnation := r.options.Identity.Identity(); e.GetIncarnation() != incarnation {
		return refuser.IncarnationChanged
	}
	if e.GetLeft().AsDuration() <= 0 {
		return refuser.DeadlineBeforeRun
	}
	var code refuser.Code
	rc.upstream, code = r.options.Upstreams.UpstreamFor(e.GetService())
	if code != refuser.None {
		return code
	}
	deadline, ok := r.options.Lifetime.Limit(time.Now().Add(e.GetLeft().AsDuration()), e.GetObjective().AsDuration())
	if !ok {
		return refuser.Draining
	}
	if !r.options.Fencer.Begin(e.GetAttempt()) {
		if r.options.Fencer.Check(e.GetAttempt()) != schema.Progress_PROGRESS_FENCED {
			// A second copy of an attempt says nothing about the first one.
			return refuser.ReceiverUnclear
		}
		return refuser.AttemptFenced
	}
	rc.request = &tracker.Request{
		ID:        rc.requestID(),
		Route:     e.GetRoute(),
		Service:   e.GetService(),
		Workspace: e.GetWorkspace(),
		Class:     e.GetClass(),
		Rank:      e.GetRank(),
		Deadline:  deadline,
		Depth:     e.GetDepth(),
		Budget:    tracker.NewBudget(e.GetRetries()),
	}
	return refuser.None
}

// run waits for a slot of the concurrency limiter and sends the call to the
// upstream.
func (r *Relay) run(w http.ResponseWriter, req *http.Request, rc *relayCall) {
	id, arrived := rc.envelope.GetAttempt(), time.Now()
	ctx, cancel := context.WithDeadline(req.Context(), rc.request.Deadline.Add(r.options.DeadlineGrace))
	defer cancel()
	if err := r.isolator.enter(ctx, rc, req); err != nil {
		r.options.Fencer.MarkNotRun(id)
		r.refuse(w, rc, refuser.CodeOf(err))
		return
	}
	defer r.isolator.leave(rc)
	permit, err := rc.upstream.Limiter.Acquire(ctx, guard.Request{
		Class: rc.request.Class, Rank: rc.request.Rank, Workspace: rc.request.Workspace,
		Objective: rc.envelope.GetObjective().AsDuration(),
		Expected:  r.options.SlotTime(rc.envelope.GetRoute(), rc.envelope.GetService()),
	})
	if err != nil {
		r.options.Fencer.MarkNotRun(id)
		r.refuse(w, rc, refuser.CodeOf(err))
		return
	}
	entered := time.Now()
	if r.options.ObserveQueueTime != nil {
		r.options.ObserveQueueTime(entered.Sub(arrived))
	}
	rc.ticket = r.options.Tracker.Open(rc.request)
	defer func() {
		r.options.Tracker.Close(rc.ticket)
		permit.ExcludeCallTime(rc.request.CallTimer.Total())
		permit.Release()
	}()
	ctx, cancelAnswer := context.WithCancel(req.Context())
	defer cancelAnswer()
	timer := time.AfterFunc(time.Until(rc.request.Deadline.Add(r.options.DeadlineGrace)), cancelAnswer)
	defer timer.Stop()
	resp, code := r.callUpstream(ctx, req, rc)
	// The node from which the call comes ends the answer at the deadline of the request, which is
	// later than that of the call if one of both nodes stops.
	timer.Reset(time.Until(rc.request.Deadline.Add(writeGrace)))
	defer r.isolator.end(rc)
	if code != refuser.None {
		r.close(id, code)
		r.refuse(w, rc, code)
		r.recordOutcome(rc, time.Since(entered), false)
		return
	}
	defer r.options.Fencer.End(id)
	r.isolator.clear(rc, req)
	r.sendResponse(w, req, rc, resp)
	r.recordOutcome(rc, time.Since(entered), resp.StatusCode < http.StatusMultipleChoices)
}

// recordOutcome passes the time for which a call held its slot, and the calls that
// it made, to the observer.
func (r *Relay) recordOutcome(rc *relayCall, slotTime time.Duration, succeeded bool) {
	if r.options.Observer == nil || !rc.offered {
		return
	}
	record := r.options.Observer.RecordFailure
	if succeeded {
		record = r.options.Observer.RecordSuccess
	}
	record(rc.envelope.GetRoute(), slotTime, rc.request.Calls.Counts(), rc.request.InferredCalls.Counts())
}

// close ends an attempt without a response at the fencer. An attempt that did
// not run is marked as not run.
func (r *Relay) close(id string, code refuser.Code) {
	if code.Info().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		r.options.Fencer.MarkNotRun(id)
		return
	}
	r.options.Fencer.End(id)
}

// callUpstream sends a call to the upstream.
func (r *Relay) callUpstream(ctx context.Context, from *http.Request, rc *relayCall) (*http.Response, refuser.Code) {
	if timeLeft(rc.request.Deadline) == 0 {
		return nil, refuser.DeadlineBeforeRun
	}
	if r.excludes(rc, from) {
		return nil, refuser.RegionMissing
	}
	if code := r.options.Barred(); code != refuser.None {
		return nil, code
	}
	rc.offered = true
	r.isolator.begin(rc, from)
	sent := time.Now()
	resp, err := r.options.Transport.RoundTrip(r.upstreamRequest(ctx, from, rc))
	if err != nil {
		return nil, r.errorCode(from, rc, transporter.Sent(err))
	}
	kind := r.options.Dialect.ClassifyResponse(resp, rc.request.ID)
	code := responseCode(kind)
	switch {
	case code == refuser.UpstreamReplaced:
		r.observe(rc, Reassigned)
	case code == refuser.UpstreamShed:
		r.observe(rc, Rejected)
	case code != refuser.None || resp.StatusCode >= http.StatusInternalServerError:
		r.observe(rc, Failed)
	default:
		r.observe(rc, Succeeded)
	}
	if r.options.Observer != nil && (kind == ResponseValid || kind == ResponseShed) {
		status := r.options.Dialect.ParseUpstreamStatus(resp.Header)
		status.Sent = sent
		r.options.Observer.ObserveStatus(rc.upstream.ID, rc.upstream.Born, status)
	}
	if code != refuser.None {
		resp.Body.Close()
	}
	return resp, code
}

// responseCode returns the refusal code for a kind of response, or None if the
// response is returned to the caller.
func responseCode(kind ResponseKind) refuser.Code {
	switch kind {
	case ResponseValid:
		return refuser.None
	case ResponseShed:
		return refuser.UpstreamShed
	case ResponseUpstreamReplaced:
		return refuser.UpstreamReplaced
	default:
		return refuser.UpstreamLost
	}
}

// errorCode returns the refusal code for a call without a response. sent is false
// if no byte of the call was sent to the upstream.
func (r *Relay) errorCode(from *http.Request, rc *relayCall, sent bool) refuser.Code {
	expired := timeLeft(rc.request.Deadline) == 0
	callerGone := from.Context().Err() != nil
	switch {
	case !sent && expired:
		return refuser.DeadlineBeforeRun
	case !sent:
		rc.offered = false
		r.observe(rc, Unreachable)
		return refuser.UpstreamRefused
	case expired:
		return refuser.DeadlinePassed
	case callerGone:
		return refuser.CallerGone
	case rc.body.err() != nil:
		return refuser.BodyCut
	case r.isolator.crashed(rc.upstream):
		rc.suspicion = r.options.Quarantine.Suspicion(rc.quarantineRequest(from).Fingerprint())
		r.observe(rc, Unreachable)
		return refuser.UpstreamCrashed
	default:
		r.observe(rc, Lost)
		return refuser.UpstreamLost
	}
}

func (r *Relay) observe(rc *relayCall, o Observation) {
	if r.options.Observer != nil {
		r.options.Observer.Observe(rc.envelope.GetService(), o)
	}
}

func (r *Relay) upstreamRequest(ctx context.Context, from *http.Request, rc *relayCall) *http.Request {
	header := forwardedHeader(from.Header, r.options.Dialect)
	delete(header, HeaderEnvelope)
	delete(header, headerMethod)
	r.options.Dialect.SetRequestHeaders(header, UpstreamMetadata{
		Request: rc.request, Ticket: rc.ticket, Upstream: rc.upstream.ID, Origin: rc.envelope.GetOrigin(),
	})
	req := newRequest(ctx, from.Header.Get(headerMethod), from.URL, rc.upstream.Address, header, rc.body)
	req.Host = rc.envelope.GetHost()
	return req
}

// sendResponse returns the response of the upstream with a report.
func (r *Relay) sendResponse(w http.ResponseWriter, req *http.Request, rc *relayCall, resp *http.Response) {
	report := r.report(rc)
	report.Outcome = schema.Outcome_OUTCOME_ANSWERED
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength, Report: report}
	r.setReport(w.Header(), resp.Header, rc, report)
	rc.loan.Take(responseBytes(response))
	defer limitWrites(w, response, rc.request.Deadline)()
	writeResponse(w, req, response, func(err error) {
		r.options.Reporter.Event("answer_cut", "request", rc.requestID(), "status", response.Status, "upstream", rc.upstream.ID, "err", err)
	})
}

// report returns the unused retries and the shedding level of a call. It drains
// the retry budget of the request.
func (r *Relay) report(rc *relayCall) *schema.Report {
	report := &schema.Report{Unused: rc.envelope.GetRetries()}
	if rc.request != nil {
		report.Unused = rc.request.Budget.Drain()
		report.Level = rc.request.Pressure.Level()
	}
	report.Offered, report.Suspicion, report.Cleared = rc.offered, rc.suspicion, rc.cleared
	if rc.upstream.Limiter != nil {
		report.Level = max(report.Level, rc.upstream.Limiter.Level())
		if d, ok := rc.upstream.Limiter.(Describer); ok {
			report.Endpoint = d.Describe()
		}
	}
	return report
}

func (r *Relay) refuse(w http.ResponseWriter, rc *relayCall, code refuser.Code) {
	report := r.report(rc)
	report.Outcome = code.Info().Outcome
	report.Code = uint32(code)
	r.options.Reporter.Event("not_answered", "request", rc.requestID(), "attempt", rc.envelope.GetAttempt(),
		"code", uint32(code), "reason", code.Info().Name, "service", rc.envelope.GetService(), "upstream", rc.upstream.ID,
		"left", rc.envelope.GetLeft().AsDuration(), "offered", rc.offered,
		"active", report.GetEndpoint().GetActive(), "queued", report.GetEndpoint().GetQueued(), "limit", report.GetEndpoint().GetLimit())
	r.setReport(w.Header(), nil, rc, report)
	if rc.compact {
		w = headWriter{w}
	}
	r.options.Refuser.Refuse(w, code, refuser.Detail{Request: rc.requestID()})
}

// Describer is a ConcurrencyLimiter that describes its load for other nodes.
type Describer interface {
	Describe() *schema.Endpoint
}
