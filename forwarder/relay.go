package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
)

// Upstreams tells which upstream of a service is beside this node.
type Upstreams interface {
	// Gate returns the guard and the address of the upstream, or the code of
	// the reason why it takes no calls.
	Gate(service string) (gate Gate, address string, code refuser.Code)
}

// Fencer remembers attempts.
type Fencer interface {
	Begin(id string) bool
	End(id string)
	Withdraw(id string)
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
	Body int64
}

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
	gate     Gate
	address  string
}

// ServeHTTP runs a call, or refuses it with a report that tells whether it ran.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	v := &visit{envelope: &schema.Envelope{}}
	if !decodeHeader(req.Header.Get(HeaderEnvelope), v.envelope) {
		r.options.Refuser.Refuse(w, refuser.BadRequest, refuser.Detail{Note: "No envelope."})
		return
	}
	w.Header().Set(HeaderRequest, v.envelope.GetRequest())
	if code := r.begin(v); code != refuser.None {
		r.refuse(w, v, code)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, r.options.Body))
	if err != nil {
		r.options.Fencer.Withdraw(v.envelope.GetAttempt())
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
	v.gate, v.address, code = r.options.Upstreams.Gate(e.GetService())
	if code != refuser.None {
		return code
	}
	if !r.options.Fencer.Begin(e.GetAttempt()) {
		return refuser.AttemptFenced
	}
	v.request = &tracker.Request{
		ID:        e.GetRequest(),
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
	id := v.envelope.GetAttempt()
	ctx, cancel := context.WithDeadline(req.Context(), v.request.Deadline)
	defer cancel()
	pass, err := v.gate.Enter(ctx, guard.Request{Class: v.request.Class, Rank: v.request.Rank, Workspace: v.request.Workspace})
	if err != nil {
		r.options.Fencer.Withdraw(id)
		r.refuse(w, v, refuser.Of(err))
		return
	}
	v.ticket = r.options.Tracker.Open(v.request)
	defer func() {
		r.options.Tracker.Close(v.ticket)
		pass.Exclude(v.request.Below.Total())
		pass.Leave()
	}()
	resp, code := r.call(ctx, req, v, body)
	if code != refuser.None {
		r.close(id, code)
		r.refuse(w, v, code)
		return
	}
	defer r.options.Fencer.End(id)
	r.answer(w, v, resp)
}

// close records what became of a call without an answer.
func (r *Relay) close(id string, code refuser.Code) {
	if code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		r.options.Fencer.Withdraw(id)
		return
	}
	r.options.Fencer.End(id)
}

// call sends a call to the upstream.
func (r *Relay) call(ctx context.Context, from *http.Request, v *visit, body []byte) (*http.Response, refuser.Code) {
	resp, err := r.options.Transport.RoundTrip(r.upstreamRequest(ctx, from, v, body))
	if err == nil {
		return resp, refuser.None
	}
	late, sent := timeLeft(v.request.Deadline) == 0, transporter.Sent(err)
	switch {
	case !sent && late:
		return nil, refuser.DeadlineBeforeRun
	case !sent:
		return nil, refuser.UpstreamRefused
	case late:
		return nil, refuser.DeadlinePassed
	case from.Context().Err() != nil:
		return nil, refuser.CallerGone
	default:
		return nil, refuser.UpstreamLost
	}
}

func (r *Relay) upstreamRequest(ctx context.Context, from *http.Request, v *visit, body []byte) *http.Request {
	header := cleanHeader(from.Header)
	header[HeaderRequest] = []string{v.request.ID}
	header[HeaderTicket] = []string{v.ticket}
	header[HeaderDeadline] = []string{strconv.FormatInt(timeLeft(v.request.Deadline).Milliseconds(), 10)}
	if v.request.Workspace != "" {
		header[HeaderWorkspace] = []string{v.request.Workspace}
	}
	return newRequest(ctx, from.Header.Get(headerMethod), from.URL, v.address, header, body)
}

// answer sends the upstream's answer back with a report.
func (r *Relay) answer(w http.ResponseWriter, v *visit, resp *http.Response) {
	report := r.report(v)
	report.Outcome = schema.Outcome_OUTCOME_ANSWERED
	a := &Answer{resp.StatusCode, resp.Header, resp.Body, resp.ContentLength, report}
	writeAnswer(w, a, v.request.ID, encodeHeader(report))
}

// report closes the request's budget and tells its level.
func (r *Relay) report(v *visit) *schema.Report {
	report := &schema.Report{Unused: v.envelope.GetRetries()}
	if v.request != nil {
		report.Unused = v.request.Budget.Drain()
		report.Level = v.request.Pressure.Level()
	}
	if v.gate != nil {
		report.Level = max(report.Level, v.gate.Level())
	}
	return report
}

func (r *Relay) refuse(w http.ResponseWriter, v *visit, code refuser.Code) {
	report := r.report(v)
	report.Outcome = code.Meaning().Outcome
	report.Code = uint32(code)
	w.Header().Set(headerReport, encodeHeader(report))
	r.options.Refuser.Refuse(w, code, refuser.Detail{Request: v.envelope.GetRequest()})
}
