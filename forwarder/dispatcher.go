package forwarder

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/balancer"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/transporter"
	"quetzalhub/util/set"
)

// Checker asks a node what became of an attempt, over a new connection.
type Checker interface {
	Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error)
}

// Listener is a checker that hears from other nodes anyway.
type Listener interface {
	// Alive tells whether a node was heard from just now.
	Alive(name string) bool
}

// Reasons for which a call is sent again, as counted.
const (
	reasonNotRun     = "not_run"
	reasonIdempotent = "idempotent"
	reasonPassed     = "passed_over"
	reasonAgain      = "sent_again"
)

// Reasons for which a call is not sent again, as counted.
const (
	reasonBudget   = "budget_spent"
	reasonThrottle = "throttled"
	reasonUnsafe   = "not_idempotent"
)

// Dispatcher sends calls to the nodes beside upstreams.
type Dispatcher struct {
	identity  Identity
	picker    Picker
	throttle  Throttler
	checker   Checker
	transport http.RoundTripper
	patience  time.Duration
	retries   *expvar.Map
	attempts  atomic.Uint64
	perCall   uint32
	passes    int
	failover  bool
	reporter  Reporter
}

// DispatcherOptions are the parts of a dispatcher.
type DispatcherOptions struct {
	Identity  Identity
	Picker    Picker
	Throttle  Throttler
	Checker   Checker
	Transport http.RoundTripper
	// Patience is the time without an answer after which an attempt is checked.
	Patience time.Duration
	// Retries counts extra attempts by reason.
	Retries *expvar.Map
	// PerCall gives each call that many extra attempts of its own, whatever
	// the outcome of the one before. It serves comparisons only.
	PerCall uint32
	// Passes is the number of nodes that may turn a call away before an
	// upstream sees it, without using up an extra attempt.
	Passes int
	// Failover sends a call that may run twice to another upstream if the
	// first one fails it.
	Failover bool
	Reporter Reporter
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	for _, reason := range []string{reasonNotRun, reasonIdempotent, reasonBudget, reasonThrottle, reasonUnsafe} {
		o.Retries.Add(reason, 0)
	}
	return &Dispatcher{
		identity:  o.Identity,
		picker:    o.Picker,
		throttle:  o.Throttle,
		checker:   o.Checker,
		transport: o.Transport,
		patience:  o.Patience,
		retries:   o.Retries,
		perCall:   o.PerCall,
		passes:    o.Passes,
		failover:  o.Failover,
		reporter:  o.Reporter,
	}
}

// Do sends a call until it is answered or may not be sent again. It returns a
// *refuser.Error if there is no answer.
func (d *Dispatcher) Do(ctx context.Context, call *Call) (*Answer, error) {
	d.throttle.Earn(call.Service, call.Route.Name, call.Nested)
	if d.perCall > 0 {
		return d.repeat(ctx, call)
	}
	tried := set.Of[string]()
	var c course
	for passed := 0; ; {
		target, ok := d.picker.Pick(call.Service, tried)
		if !ok {
			return c.end()
		}
		tried.Add(target.Member.GetName())
		answer, offered, err := d.send(ctx, call, target)
		if err == nil {
			c.take(answer)
			if !d.better(ctx, call, answer) {
				return c.end()
			}
			d.note(call, target, reasonIdempotent, nil)
			continue
		}
		c.fail(at(err, target))
		if !offered && passed < d.passes {
			// No upstream has seen the call, so another node may take it.
			passed++
			d.note(call, target, reasonPassed, err)
			if ctx.Err() == nil {
				continue
			}
			return c.end()
		}
		if !d.again(ctx, call, err) {
			return c.end()
		}
		d.note(call, target, reasonAgain, err)
	}
}

// at adds to a refusal by which node it came about.
func at(err error, target *balancer.Target) error {
	refusal, ok := err.(*refuser.Error)
	if !ok || refusal.Detail.Note != "" {
		return err
	}
	refusal.Detail.Note = "At node " + target.Member.GetName() + "."
	return refusal
}

// better tells whether to ask another upstream in place of passing a failure
// on.
func (d *Dispatcher) better(ctx context.Context, call *Call, a *Answer) bool {
	if !d.failover || a.Status < http.StatusInternalServerError || !call.Route.Idempotent {
		return false
	}
	return d.again(ctx, call, nil)
}

func (d *Dispatcher) note(call *Call, target *balancer.Target, reason string, err error) {
	d.reporter.Event("resent", "request", call.Parent.ID, "service", call.Service, "from", target.Member.GetName(),
		"reason", reason, "code", uint32(refuser.Of(err)))
}

// repeat sends a call up to a fixed number of times.
func (d *Dispatcher) repeat(ctx context.Context, call *Call) (*Answer, error) {
	call.Retries = false
	var last error
	for range d.perCall + 1 {
		target, ok := d.picker.Pick(call.Service, nil)
		if !ok {
			return nil, &refuser.Error{Code: refuser.EndpointMissing}
		}
		answer, _, err := d.send(ctx, call, target)
		if err == nil && answer.Status < http.StatusInternalServerError {
			return answer, nil
		}
		if err == nil {
			answer.Body.Close()
			err = &refuser.Error{Code: refuser.UpstreamLost}
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		d.retries.Add(reasonIdempotent, 1)
	}
	return nil, last
}

// again tells whether a call may be sent once more after an error.
func (d *Dispatcher) again(ctx context.Context, call *Call, err error) bool {
	code := refuser.Of(err)
	if ctx.Err() != nil || code == refuser.DeadlineBeforeRun || code == refuser.DeadlinePassed {
		return false
	}
	reason := reasonIdempotent
	if err != nil && code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		reason = reasonNotRun
	} else if !call.Route.Idempotent {
		d.retries.Add(reasonUnsafe, 1)
		return false
	}
	if !call.Retries || !call.Parent.Budget.TryConsume() {
		d.retries.Add(reasonBudget, 1)
		return false
	}
	if !d.throttle.Take(call.Service, call.Route.Name) {
		d.retries.Add(reasonThrottle, 1)
		return false
	}
	d.retries.Add(reason, 1)
	return true
}

// attempt is one try to have a call run at a node.
type attempt struct {
	id     string
	target *balancer.Target
	call   *Call
	sent   time.Time
	// delegated is the number of extra attempts given along.
	delegated uint32
	// ctx is that of the call; it ends when the caller leaves.
	ctx context.Context
}

// callerLeft tells whether the caller no longer waits for the answer.
func (a *attempt) callerLeft() bool { return errors.Is(a.ctx.Err(), context.Canceled) }

// send makes one attempt. It tells whether an upstream may have seen the call.
func (d *Dispatcher) send(ctx context.Context, call *Call, target *balancer.Target) (*Answer, bool, error) {
	a := d.newAttempt(call, target)
	a.ctx = ctx
	ctx, cancel := context.WithCancel(ctx)
	watch := d.watch(ctx, cancel, a)
	resp, err := d.transport.RoundTrip(d.request(ctx, a))
	verdict := watch.stop()
	if err != nil {
		cancel()
		err = d.failed(ctx, a, verdict, transporter.Sent(err))
		return nil, refuser.Of(err).Meaning().Outcome != schema.Outcome_OUTCOME_NOT_RUN, err
	}
	return d.answered(a, resp, cancel)
}

func (d *Dispatcher) newAttempt(call *Call, target *balancer.Target) *attempt {
	name, incarnation := d.identity.Identity()
	number := d.attempts.Add(1)
	id := name + "/" + strconv.FormatUint(incarnation, 36) + "/" + strconv.FormatUint(number, 36)
	a := &attempt{id: id, target: target, call: call, sent: time.Now()}
	if call.Retries {
		a.delegated = call.Parent.Budget.Delegate()
	}
	return a
}

func (d *Dispatcher) request(ctx context.Context, a *attempt) *http.Request {
	call, parent := a.call, a.call.Parent
	envelope := &schema.Envelope{
		Attempt:     a.id,
		Incarnation: a.target.Member.GetIncarnation(),
		Request:     parent.ID,
		Workspace:   parent.Workspace,
		Service:     call.Service,
		Origin:      call.Origin,
		Host:        call.Host,
		Route:       call.Route.Name,
		Class:       parent.Class,
		Rank:        parent.Rank,
		Idempotent:  call.Route.Idempotent,
		Left:        durationpb.New(timeLeft(parent.Deadline)),
		Retries:     a.delegated,
		Depth:       parent.Depth + 1,
	}
	if call.Route.Objective > 0 {
		envelope.Objective = durationpb.New(call.Route.Objective)
	}
	header := maps.Clone(call.Header)
	header[HeaderEnvelope] = []string{encodeHeader(envelope)}
	header[headerMethod] = []string{call.Method}
	return newRequest(ctx, http.MethodPost, call.URL, a.target.Member.GetAddress(), header, call.Body)
}

// newRequest returns a request for an address with the path and query of a URL.
func newRequest(ctx context.Context, method string, from *url.URL, address string, h http.Header, body []byte) *http.Request {
	u := &url.URL{Host: address, Path: from.Path, RawPath: from.RawPath, RawQuery: from.RawQuery, ForceQuery: from.ForceQuery}
	req := &http.Request{Method: method, URL: u, Header: h, ContentLength: int64(len(body))}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	return req.WithContext(ctx)
}

// answered turns the response of a node into an answer or a refusal.
func (d *Dispatcher) answered(a *attempt, resp *http.Response, cancel context.CancelFunc) (*Answer, bool, error) {
	report := decodeReport(resp.Header)
	latency := time.Since(a.sent)
	if report == nil {
		resp.Body.Close()
		cancel()
		a.target.Done(balancer.Unreachable, latency)
		return nil, true, &refuser.Error{Code: refuser.ReceiverUnclear}
	}
	a.target.RecordLoad(report.GetEndpoint())
	parent := a.call.Parent
	parent.Budget.Restore(min(report.GetUnused(), a.delegated))
	parent.Pressure.Raise(report.GetLevel())
	if report.GetOutcome() == schema.Outcome_OUTCOME_ANSWERED {
		result := balancer.Answered
		if resp.StatusCode >= http.StatusInternalServerError {
			result = balancer.Failed
		}
		body := &answerBody{ReadCloser: resp.Body, cancel: cancel, done: func() { a.target.Done(result, latency) }}
		return &Answer{resp.StatusCode, resp.Header, body, resp.ContentLength, report, a.target.Member.GetName()}, true, nil
	}
	resp.Body.Close()
	cancel()
	code := refuser.Code(report.GetCode())
	a.target.Done(resultOf(code), latency)
	return nil, report.GetOffered(), &refuser.Error{Code: code}
}

// resultOf returns what a refusal says about the node that sent it.
func resultOf(code refuser.Code) balancer.Result {
	switch {
	case code == refuser.UpstreamShed || code == refuser.UpstreamLost:
		return balancer.Failed
	case code == refuser.DeadlinePassed || code == refuser.DeadlineBeforeRun || code == refuser.CallerGone:
		return balancer.Abandoned
	case code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		return balancer.Refused
	}
	return balancer.Unreachable
}

// answerBody ends the attempt when the body is closed.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	done   func()
}

// Close ends the attempt.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	b.done()
	return err
}
