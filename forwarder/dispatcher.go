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

// LivenessChecker is a checker that hears from other nodes anyway.
type LivenessChecker interface {
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
	identity       Identity
	picker         Picker
	retryThrottler RetryThrottler
	checker        Checker
	transport      http.RoundTripper
	checkInterval  time.Duration
	retryCounts    *expvar.Map
	attemptCount   atomic.Uint64
	retriesPerCall uint32
	maxFreeRetries int
	failover       bool
	reporter       Reporter
}

// DispatcherOptions are the parts of a dispatcher.
type DispatcherOptions struct {
	Identity       Identity
	Picker         Picker
	RetryThrottler RetryThrottler
	Checker        Checker
	Transport      http.RoundTripper
	// CheckInterval is the time without an answer after which an attempt is checked.
	CheckInterval time.Duration
	// RetryCounts counts extra attempts by reason.
	RetryCounts *expvar.Map
	// RetriesPerCall gives each call that many extra attempts of its own, whatever
	// the outcome of the one before. It serves comparisons only.
	RetriesPerCall uint32
	// MaxFreeRetries is the number of nodes that may turn a call away before an
	// upstream sees it, without using up an extra attempt.
	MaxFreeRetries int
	// Failover sends a call that may run twice to another upstream if the
	// first one fails it.
	Failover bool
	Reporter Reporter
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	for _, reason := range []string{reasonNotRun, reasonIdempotent, reasonBudget, reasonThrottle, reasonUnsafe} {
		o.RetryCounts.Add(reason, 0)
	}
	return &Dispatcher{
		identity:       o.Identity,
		picker:         o.Picker,
		retryThrottler: o.RetryThrottler,
		checker:        o.Checker,
		transport:      o.Transport,
		checkInterval:  o.CheckInterval,
		retryCounts:    o.RetryCounts,
		retriesPerCall: o.RetriesPerCall,
		maxFreeRetries: o.MaxFreeRetries,
		failover:       o.Failover,
		reporter:       o.Reporter,
	}
}

// Do sends a call until it is answered or may not be sent again. It returns a
// *refuser.Error if there is no answer.
func (d *Dispatcher) Do(ctx context.Context, call *Call) (*Response, error) {
	d.retryThrottler.RecordRequest(call.Service, call.Route.Name, call.Nested)
	if d.retriesPerCall > 0 {
		return d.sendFixedRetries(ctx, call)
	}
	tried := set.Of[string]()
	var outcome callOutcome
	for freeRetries := 0; ; {
		target, ok := d.picker.Pick(call.Service, tried)
		if !ok {
			return outcome.result()
		}
		tried.Add(target.Member.GetName())
		response, offered, err := d.send(ctx, call, target)
		if err == nil {
			outcome.setResponse(response)
			if !d.acquireFailover(ctx, call, response) {
				return outcome.result()
			}
			d.reportResend(call, target, reasonIdempotent, nil)
			continue
		}
		outcome.addFailure(withNode(err, target))
		if !offered && freeRetries < d.maxFreeRetries {
			// No upstream has seen the call, so another node may take it.
			freeRetries++
			d.reportResend(call, target, reasonPassed, err)
			if ctx.Err() == nil {
				continue
			}
			return outcome.result()
		}
		if !d.acquireRetry(ctx, call, err) {
			return outcome.result()
		}
		d.reportResend(call, target, reasonAgain, err)
	}
}

// at adds to a refusal by which node it came about.
func withNode(err error, target *balancer.Target) error {
	refusal, ok := err.(*refuser.Error)
	if !ok || refusal.Detail.Note != "" {
		return err
	}
	refusal.Detail.Note = "At node " + target.Member.GetName() + "."
	return refusal
}

// better tells whether to ask another upstream in place of passing a failure
// on.
func (d *Dispatcher) acquireFailover(ctx context.Context, call *Call, resp *Response) bool {
	if !d.failover || resp.Status < http.StatusInternalServerError || !call.Route.Idempotent {
		return false
	}
	return d.acquireRetry(ctx, call, nil)
}

func (d *Dispatcher) reportResend(call *Call, target *balancer.Target, reason string, err error) {
	d.reporter.Event("resent", "request", call.Parent.ID, "service", call.Service, "from", target.Member.GetName(),
		"reason", reason, "code", uint32(refuser.Of(err)))
}

// repeat sends a call up to a fixed number of times.
func (d *Dispatcher) sendFixedRetries(ctx context.Context, call *Call) (*Response, error) {
	call.Retryable = false
	var last error
	for range d.retriesPerCall + 1 {
		target, ok := d.picker.Pick(call.Service, nil)
		if !ok {
			return nil, &refuser.Error{Code: refuser.EndpointMissing}
		}
		response, _, err := d.send(ctx, call, target)
		if err == nil && response.Status < http.StatusInternalServerError {
			return response, nil
		}
		if err == nil {
			response.Body.Close()
			err = &refuser.Error{Code: refuser.UpstreamLost}
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		d.retryCounts.Add(reasonIdempotent, 1)
	}
	return nil, last
}

// again tells whether a call may be sent once more after an error.
func (d *Dispatcher) acquireRetry(ctx context.Context, call *Call, err error) bool {
	code := refuser.Of(err)
	if ctx.Err() != nil || code == refuser.DeadlineBeforeRun || code == refuser.DeadlinePassed {
		return false
	}
	reason := reasonIdempotent
	if err != nil && code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		reason = reasonNotRun
	} else if !call.Route.Idempotent {
		d.retryCounts.Add(reasonUnsafe, 1)
		return false
	}
	if !call.Retryable || !call.Parent.Budget.Take() {
		d.retryCounts.Add(reasonBudget, 1)
		return false
	}
	if !d.retryThrottler.AllowRetry(call.Service, call.Route.Name) {
		d.retryCounts.Add(reasonThrottle, 1)
		return false
	}
	d.retryCounts.Add(reason, 1)
	return true
}

// attempt is one try to have a call run at a node.
type attempt struct {
	id     string
	target *balancer.Target
	call   *Call
	sent   time.Time
	// delegated is the number of extra attempts given along.
	delegatedRetries uint32
	// ctx is that of the call; it ends when the caller leaves.
	ctx context.Context
}

// callerLeft tells whether the caller no longer waits for the answer.
func (a *attempt) callerCanceled() bool { return errors.Is(a.ctx.Err(), context.Canceled) }

// send makes one attempt. It tells whether an upstream may have seen the call.
func (d *Dispatcher) send(ctx context.Context, call *Call, target *balancer.Target) (*Response, bool, error) {
	a := d.newAttempt(call, target)
	a.ctx = ctx
	ctx, cancel := context.WithCancel(ctx)
	watch := d.startWatch(ctx, cancel, a)
	resp, err := d.transport.RoundTrip(d.newNodeRequest(ctx, a))
	progress := watch.stop()
	if err != nil {
		cancel()
		err = d.attemptError(ctx, a, progress, transporter.Sent(err))
		return nil, refuser.Of(err).Meaning().Outcome != schema.Outcome_OUTCOME_NOT_RUN, err
	}
	return d.handleResponse(a, resp, cancel)
}

func (d *Dispatcher) newAttempt(call *Call, target *balancer.Target) *attempt {
	name, incarnation := d.identity.Identity()
	number := d.attemptCount.Add(1)
	id := name + "/" + strconv.FormatUint(incarnation, 36) + "/" + strconv.FormatUint(number, 36)
	a := &attempt{id: id, target: target, call: call, sent: time.Now()}
	if call.Retryable {
		a.delegatedRetries = call.Parent.Budget.Delegate()
	}
	return a
}

func (d *Dispatcher) newNodeRequest(ctx context.Context, a *attempt) *http.Request {
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
		Retries:     a.delegatedRetries,
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
func (d *Dispatcher) handleResponse(a *attempt, resp *http.Response, cancel context.CancelFunc) (*Response, bool, error) {
	report := decodeReport(resp.Header)
	latency := time.Since(a.sent)
	if report == nil {
		resp.Body.Close()
		cancel()
		a.target.Done(balancer.Unreachable, latency)
		return nil, true, &refuser.Error{Code: refuser.ReceiverUnclear}
	}
	a.target.Learn(report.GetEndpoint())
	parent := a.call.Parent
	parent.Budget.Restore(min(report.GetUnused(), a.delegatedRetries))
	parent.Pressure.Raise(report.GetLevel())
	if report.GetOutcome() == schema.Outcome_OUTCOME_ANSWERED {
		result := balancer.Answered
		if resp.StatusCode >= http.StatusInternalServerError {
			result = balancer.Failed
		}
		body := &responseBody{ReadCloser: resp.Body, cancel: cancel, done: func() { a.target.Done(result, latency) }}
		return &Response{resp.StatusCode, resp.Header, body, resp.ContentLength, report, a.target.Member.GetName()}, true, nil
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
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	done   func()
}

// Close ends the attempt.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	b.done()
	return err
}
