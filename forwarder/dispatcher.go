package forwarder

import (
	"bytes"
	"context"
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

// Reasons for which a call is sent again, as counted.
const (
	reasonNotRun     = "not_run"
	reasonIdempotent = "idempotent"
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
	}
}

// Do sends a call until it is answered or may not be sent again. It returns a
// *refuser.Error if there is no answer.
func (d *Dispatcher) Do(ctx context.Context, call *Call) (*Answer, error) {
	d.throttle.Earn()
	if d.perCall > 0 {
		return d.repeat(ctx, call)
	}
	tried := set.Of[string]()
	var last error
	for {
		target, ok := d.picker.Pick(call.Route.Service, tried)
		if !ok {
			if last == nil {
				last = &refuser.Error{Code: refuser.EndpointMissing, Detail: refuser.Detail{Retry: time.Second}}
			}
			return nil, last
		}
		tried.Add(target.Member.GetName())
		answer, err := d.send(ctx, call, target)
		if err == nil {
			return answer, nil
		}
		last = err
		if !d.again(ctx, call, err) {
			return nil, last
		}
	}
}

// repeat sends a call up to a fixed number of times.
func (d *Dispatcher) repeat(ctx context.Context, call *Call) (*Answer, error) {
	call.Retries = false
	var last error
	for range d.perCall + 1 {
		target, ok := d.picker.Pick(call.Route.Service, nil)
		if !ok {
			return nil, &refuser.Error{Code: refuser.EndpointMissing}
		}
		answer, err := d.send(ctx, call, target)
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
	if code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		reason = reasonNotRun
	} else if !call.Route.Idempotent {
		d.retries.Add(reasonUnsafe, 1)
		return false
	}
	if !call.Retries || !call.Parent.Budget.Take() {
		d.retries.Add(reasonBudget, 1)
		return false
	}
	if !d.throttle.Take() {
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
}

// send makes one attempt.
func (d *Dispatcher) send(ctx context.Context, call *Call, target *balancer.Target) (*Answer, error) {
	a := d.newAttempt(call, target)
	ctx, cancel := context.WithCancel(ctx)
	watch := d.watch(ctx, cancel, a)
	resp, err := d.transport.RoundTrip(d.request(ctx, a))
	verdict := watch.stop()
	if err != nil {
		cancel()
		return nil, d.failed(ctx, a, verdict, transporter.Sent(err))
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
		Service:     call.Route.Service,
		Class:       parent.Class,
		Rank:        parent.Rank,
		Idempotent:  call.Route.Idempotent,
		Left:        durationpb.New(timeLeft(parent.Deadline)),
		Retries:     a.delegated,
		Depth:       parent.Depth + 1,
	}
	header := maps.Clone(call.Header)
	header[HeaderEnvelope] = []string{encodeHeader(envelope)}
	header[headerMethod] = []string{call.Method}
	return newRequest(ctx, http.MethodPost, call.URL, a.target.Member.GetAddress(), header, call.Body)
}

// newRequest returns a request for an address with the path and query of a URL.
func newRequest(ctx context.Context, method string, from *url.URL, address string, h http.Header, body []byte) *http.Request {
	u := &url.URL{Host: address, Path: from.Path, RawPath: from.RawPath, RawQuery: from.RawQuery}
	req := &http.Request{Method: method, URL: u, Header: h, ContentLength: int64(len(body))}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	return req.WithContext(ctx)
}

// answered turns the response of a node into an answer or a refusal.
func (d *Dispatcher) answered(a *attempt, resp *http.Response, cancel context.CancelFunc) (*Answer, error) {
	report := decodeReport(resp.Header)
	latency := time.Since(a.sent)
	if report == nil {
		resp.Body.Close()
		cancel()
		a.target.Done(balancer.Unreachable, latency)
		return nil, &refuser.Error{Code: refuser.ReceiverUnclear}
	}
	parent := a.call.Parent
	parent.Budget.Restore(min(report.GetUnused(), a.delegated))
	parent.Pressure.Raise(report.GetLevel())
	if report.GetOutcome() == schema.Outcome_OUTCOME_ANSWERED {
		body := &answerBody{ReadCloser: resp.Body, cancel: cancel, done: func() { a.target.Done(balancer.Answered, latency) }}
		return &Answer{resp.StatusCode, resp.Header, body, resp.ContentLength, report}, nil
	}
	resp.Body.Close()
	cancel()
	code := refuser.Code(report.GetCode())
	a.target.Done(resultOf(code), latency)
	return nil, &refuser.Error{Code: code}
}

// resultOf returns what a refusal says about the node that sent it.
func resultOf(code refuser.Code) balancer.Result {
	if code.Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
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
