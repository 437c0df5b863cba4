package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
)

// Upstreams tells which upstream of a service is beside this node.
type Upstreams interface {
	// Gate returns the upstream, or the code of the reason why it takes no
	// calls.
	Gate(service string) (Upstream, refuser.Code)
}

// Upstream is the upstream beside this node.
type Upstream struct {
	Gate    Gate
	Address string
	// ID names this start of the upstream; empty if it has no name.
	ID string
}

// Fencer remembers attempts.
type Fencer interface {
	Begin(id string) bool
	End(id string)
	MarkNotRun(id string)
}

// RelayOptions are the parts of a relay.
type RelayOptions struct {
	Identity  Identity
	Upstreams Upstreams
	Fencer    Fencer
	Tracker   *tracker.Tracker
	Refuser   *refuser.Refuser
	Transport http.RoundTripper
	// Body is the largest request body in bytes.
	Body    int64
	Dialect Dialect
	// Margin is the time after the deadline for which an upstream is given to
	// answer by itself that it passed.
	Margin time.Duration
	// Watcher learns how upstreams answer. It may be nil.
	Watcher Watcher
	// Reporter notes requests that were not answered by the upstream.
	Reporter Reporter
	// Waited is told how long each request waited for the upstream; it may be
	// nil.
	Waited func(time.Duration)
}

// Watcher learns how the upstream beside this node answers.
type Watcher interface {
	Observe(service string, o Observation)
	// Ran is told of each request that succeeded: the time for which it held
	// its slot, and the number of calls by route that it made for certain, and
	// that it or one like it made.
	Ran(route string, busy time.Duration, calls, guesses map[string]int)
	// Failed is told the same of each request that did not succeed.
	Failed(route string, busy time.Duration, calls, guesses map[string]int)
}

// Observation is how an upstream took a request.
type Observation int

// Observations.
const (
	Succeeded Observation = iota
	Failed
	Unreachable
	Reassigned
)

// Relay takes calls from other nodes and runs them at the upstream.
type Relay struct {
	options RelayOptions
}

// NewRelay returns the handler for calls from other nodes.
func NewRelay(o RelayOptions) *Relay { return &Relay{options: o} }

// visit is one call at this node.
type visit struct {
	envelope *schema.Envelope
	request  *tracker.Request
	ticket   string
	upstream Upstream
	offered  bool
}

// ServeHTTP runs a call, or refuses it with a report that tells whether it ran.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	v := &visit{envelope: &schema.Envelope{}}
	if !decodeHeader(req.Header.Get(HeaderEnvelope), v.envelope) {
		r.options.Refuser.Refuse(w, refuser.BadRequest, refuser.Detail{Note: "No envelope."})
		return
	}
	r.options.Dialect.Greet(w.Header(), v.envelope.GetRequest())
	if code := r.begin(v); code != refuser.None {
		r.refuse(w, v, code)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, r.options.Body))
	if err != nil {
		r.options.Fencer.MarkNotRun(v.envelope.GetAttempt())
		r.refuse(w, v, refuser.BadRequest)
		return
	}
	r.run(w, req, v, body)
}

// begin checks whether a call may run here.
func (r *Relay) begin(v *visit) refuser.Code {
	e := v.envelope
	if _, incarnation := r.options.Identity.Identity(); e.GetIncarnation() != incarnation {
		return refuser.IncarnationChanged
	}
	if e.GetLeft().AsDuration() <= 0 {
		return refuser.DeadlineBeforeRun
	}
	var code refuser.Code
	v.upstream, code = r.options.Upstreams.Gate(e.GetService())
	if code != refuser.None {
		return code
	}
	if !r.options.Fencer.Begin(e.GetAttempt()) {
		return refuser.AttemptFenced
	}
	v.request = &tracker.Request{
		ID:        e.GetRequest(),
		Route:     e.GetRoute(),
		Workspace: e.GetWorkspace(),
		Class:     e.GetClass(),
		Rank:      e.GetRank(),
		Deadline:  time.Now().Add(e.GetLeft().AsDuration()),
		Depth:     e.GetDepth(),
		Budget:    tracker.NewBudget(e.GetRetries()),
	}
	return refuser.None
}

// run waits for the guard and sends the call to the upstream.
func (r *Relay) run(w http.ResponseWriter, req *http.Request, v *visit, body []byte) {
	id, arrived := v.envelope.GetAttempt(), time.Now()
	ctx, cancel := context.WithDeadline(req.Context(), v.request.Deadline.Add(r.options.Margin))
	defer cancel()
	pass, err := v.upstream.Gate.Enter(ctx, guard.Request{
		Class: v.request.Class, Rank: v.request.Rank, Workspace: v.request.Workspace,
		Objective: v.envelope.GetObjective().AsDuration(),
	})
	if err != nil {
		r.options.Fencer.MarkNotRun(id)
		r.refuse(w, v, refuser.Of(err))
		return
	}
	entered := time.Now()
	if r.options.Waited != nil {
		r.options.Waited(entered.Sub(arrived))
	}
	v.ticket = r.options.Tracker.Open(v.request)
	defer func() {
		r.options.Tracker.Close(v.ticket)
		pass.Exclude(v.request.CallTimer.Total())
		pass.Leave()
	}()
	resp, code := r.call(ctx, req, v, body)
	if code != refuser.None {
		r.close(id, code)
		r.refuse(w, v, code)
		r.learn(v, time.Since(entered), false)
		return
	}
	defer r.options.Fencer.End(id)
	r.answer(w, v, resp)
	r.learn(v, time.Since(entered), resp.StatusCode < http.StatusMultipleChoices)
}

// learn tells what a request took at the upstream.
func (r *Relay) learn(v *visit, busy time.Duration, succeeded bool) {
	if r.options.Watcher == nil || !v.offered {
		return
	}
	tell := r.options.Watcher.Failed
	if succeeded {
		tell = r.options.Watcher.Ran
	}
	tell(v.envelope.GetRoute(), busy, v.request.Calls.Counts(), v.request.InferredCalls.Counts())
}

// close records what became of a call without an answer.
func (r *Relay) close(id string, code refuser.Code) {
	if code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		r.options.Fencer.MarkNotRun(id)
		return
	}
	r.options.Fencer.End(id)
}

// call sends a call to the upstream.
func (r *Relay) call(ctx context.Context, from *http.Request, v *visit, body []byte) (*http.Response, refuser.Code) {
	if timeLeft(v.request.Deadline) == 0 {
		return nil, refuser.DeadlineBeforeRun
	}
	v.offered = true
	resp, err := r.options.Transport.RoundTrip(r.upstreamRequest(ctx, from, v, body))
	if err != nil {
		return nil, r.lost(from, v, transporter.Sent(err))
	}
	code := codeOf(r.options.Dialect.Judge(resp, v.request.ID))
	switch {
	case code == refuser.UpstreamReplaced:
		r.observe(v, Reassigned)
	case code != refuser.None || resp.StatusCode >= http.StatusInternalServerError:
		r.observe(v, Failed)
	default:
		r.observe(v, Succeeded)
	}
	if code != refuser.None {
		resp.Body.Close()
	}
	return resp, code
}

// codeOf returns the code of an answer that is not passed on.
func codeOf(v Verdict) refuser.Code {
	switch v {
	case Genuine:
		return refuser.None
	case Shed:
		return refuser.UpstreamShed
	case Replaced:
		return refuser.UpstreamReplaced
	default:
		return refuser.UpstreamLost
	}
}

// lost returns the code of a call without an answer.
func (r *Relay) lost(from *http.Request, v *visit, sent bool) refuser.Code {
	late := timeLeft(v.request.Deadline) == 0
	gone := from.Context().Err() != nil
	switch {
	case !sent && late:
		return refuser.DeadlineBeforeRun
	case !sent:
		v.offered = false
		r.observe(v, Unreachable)
		return refuser.UpstreamRefused
	case late:
		return refuser.DeadlinePassed
	case gone:
		return refuser.CallerGone
	default:
		r.observe(v, Failed)
		return refuser.UpstreamLost
	}
}

func (r *Relay) observe(v *visit, o Observation) {
	if r.options.Watcher != nil {
		r.options.Watcher.Observe(v.envelope.GetService(), o)
	}
}

func (r *Relay) upstreamRequest(ctx context.Context, from *http.Request, v *visit, body []byte) *http.Request {
	header := cleanHeader(from.Header, r.options.Dialect)
	delete(header, HeaderEnvelope)
	delete(header, headerMethod)
	r.options.Dialect.Address(header, Delivery{
		Request: v.request, Ticket: v.ticket, Upstream: v.upstream.ID, Origin: v.envelope.GetOrigin(),
	})
	req := newRequest(ctx, from.Header.Get(headerMethod), from.URL, v.upstream.Address, header, body)
	req.Host = v.envelope.GetHost()
	return req
}

// answer sends the upstream's answer back with a report.
func (r *Relay) answer(w http.ResponseWriter, v *visit, resp *http.Response) {
	report := r.report(v)
	report.Outcome = schema.Outcome_OUTCOME_ANSWERED
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength, Report: report}
	w.Header().Set(headerReport, encodeHeader(report))
	writeAnswer(w, a)
}

// report closes the request's budget and tells its level.
func (r *Relay) report(v *visit) *schema.Report {
	report := &schema.Report{Unused: v.envelope.GetRetries()}
	if v.request != nil {
		report.Unused = v.request.Budget.Drain()
		report.Level = v.request.Pressure.Level()
	}
	report.Offered = v.offered
	if v.upstream.Gate != nil {
		report.Level = max(report.Level, v.upstream.Gate.Level())
		if d, ok := v.upstream.Gate.(Describer); ok {
			report.Endpoint = d.Describe()
		}
	}
	return report
}

func (r *Relay) refuse(w http.ResponseWriter, v *visit, code refuser.Code) {
	report := r.report(v)
	report.Outcome = code.Meaning().Outcome
	report.Code = uint32(code)
	r.options.Reporter.Event("not_answered", "request", v.envelope.GetRequest(), "attempt", v.envelope.GetAttempt(),
		"code", uint32(code), "reason", code.Meaning().Name, "service", v.envelope.GetService(), "upstream", v.upstream.ID,
		"left", v.envelope.GetLeft().AsDuration(), "offered", v.offered,
		"active", report.GetEndpoint().GetActive(), "queued", report.GetEndpoint().GetQueued(), "limit", report.GetEndpoint().GetLimit())
	w.Header().Set(headerReport, encodeHeader(report))
	r.options.Refuser.Refuse(w, code, refuser.Detail{Request: v.envelope.GetRequest()})
}

// Describer is a gate that can tell others its load.
type Describer interface {
	Describe() *schema.Endpoint
}
