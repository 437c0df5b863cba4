package forwarder

import (
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

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/balancer"
	"quetzalhub/quarantiner"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/transporter"
	"quetzalhub/util/set"
)

// Checker asks a node for the progress of an attempt, over a new connection.
type Checker interface {
	Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error)
}

// LivenessChecker is a Checker that also receives the heartbeats of other nodes.
type LivenessChecker interface {
	// Alive reports whether a recent heartbeat of a node was received.
	Alive(name string) bool
}

// nodeHost is the Host header of requests between nodes.
const nodeHost = "node"

// Reasons for sending a call again: keys of the retry counters and values in
// "resent" events.
const (
	reasonNotRun     = "not_run"
	reasonIdempotent = "idempotent"
	reasonFreeRetry  = "passed_over"
	reasonRetry      = "sent_again"
)

// Reasons for not sending a call again: keys of the retry counters.
const (
	reasonBudget        = "budget_spent"
	reasonThrottle      = "throttled"
	reasonNotIdempotent = "not_idempotent"
)

// maxColdRetries is the number of nodes with cold upstreams that may refuse a call, beside
// the free retries, before it fails. It bounds the messages while all are cold.
const maxColdRetries = 6

// Dispatcher sends calls to nodes beside upstreams and retries them.
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
	quarantine     Quarantine
	reporter       Reporter
	slotTime       func(route, service string) time.Duration
	state          State
}

// DispatcherOptions holds the dependencies and settings of a Dispatcher.
type DispatcherOptions struct {
	Identity       Identity
	Picker         Picker
	RetryThrottler RetryThrottler
	Checker        Checker
	Transport      http.RoundTripper
	// CheckInterval is the time without a response after which the progress of
	// an attempt is checked, and the interval of the checks that follow.
	CheckInterval time.Duration
	// RetryCounts counts retries, and decisions against a retry, by reason.
	RetryCounts *expvar.Map
	// RetriesPerCall, if positive, allows each call this number of retries after
	// any failure, without regard to the retry budget or to whether the call may
	// have run. It exists for comparison only.
	RetriesPerCall uint32
	// MaxFreeRetries is the number of retries per call that do not consume the
	// retry budget, for nodes that refuse a call before an upstream sees it.
	MaxFreeRetries int
	// Failover retries an idempotent call at another upstream if the response
	// is a server error.
	Failover bool
	// Quarantine isolates and holds requests that seem to crash upstreams. The default
	// is an own one.
	Quarantine Quarantine
	Reporter   Reporter
	// SlotTime returns the mean time that a request of a route takes at the upstreams
	// of a service, or zero if it is not known. It may be nil.
	SlotTime func(route, service string) time.Duration
	// State provides the regions of routes and workspaces at each attempt. If it is nil, those
	// hold that were in force when the request arrived.
	State State
}

// NewDispatcher returns a Dispatcher and creates the retry counters of all
// reasons that are counted.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	for _, reason := range []string{reasonNotRun, reasonIdempotent, reasonBudget, reasonThrottle, reasonNotIdempotent} {
		o.RetryCounts.Add(reason, 0)
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantiner.New()
	}
	if o.SlotTime == nil {
		o.SlotTime = func(string, string) time.Duration { return 0 }
	}
	return &Dispatcher{
		state:          o.State,
		slotTime:       o.SlotTime,
		quarantine:     o.Quarantine,
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

// Do sends a call until there is a response or no further retry is allowed. It
// returns a *refuser.Error if there is no response.
func (d *Dispatcher) Do(ctx context.Context, call *Call) (*Response, error) {
	d.retryThrottler.RecordRequest(call.Service, call.Route.Name, call.Nested)
	if d.retriesPerCall > 0 {
		return d.sendFixedRetries(ctx, call)
	}
	tried := set.Of[string]()
	var outcome callOutcome
	for freeRetries, coldRetries := 0, 0; ; {
		target, err := d.pick(call, tried)
		if err != nil {
			outcome.addRefusal(err)
			return outcome.result()
		}
		tried.Add(target.Member.GetName())
		response, offered, err := d.send(ctx, call, target)
		if offered {
			call.offered++
		}
		if err == nil {
			outcome.setResponse(response)
			if !d.acquireFailover(ctx, call, response) {
				return outcome.result()
			}
			d.reportResend(call, target, reasonIdempotent, nil)
			continue
		}
		outcome.addFailure(withNode(err, target))
		if call.Body.spent() {
			return outcome.result()
		}
		if refuser.CodeOf(err) == refuser.UpstreamCold {
			// Others may have room; the retry budget and the last attempt are left for a call
			// that an upstream has seen.
			if coldRetries++; coldRetries > maxColdRetries || !call.fits(d.slotTime(call.Route.Name, call.Service)) || ctx.Err() != nil {
				return outcome.result()
			}
			d.reportResend(call, target, reasonFreeRetry, err)
			continue
		}
		if !offered && freeRetries < d.maxFreeRetries {
			// No upstream has seen the call, so it is safe to send it to another node.
			freeRetries++
			d.reportResend(call, target, reasonFreeRetry, err)
			if ctx.Err() == nil {
				continue
			}
			return outcome.result()
		}
		if !d.acquireRetry(ctx, call, err) {
			return outcome.result()
		}
		d.reportResend(call, target, reasonRetry, err)
	}
}

// withNode adds the name of the target node to a refusal without a note.
func withNode(err error, target *balancer.Target) error {
	refusal, ok := err.(*refuser.Error)
	if !ok || refusal.Detail.Note != "" {
		return err
	}
	refusal.Detail.Note = "At node " + target.Member.GetName() + "."
	return refusal
}

// acquireFailover reports whether to retry at another upstream instead of
// returning a server error. It consumes a retry if so.
func (d *Dispatcher) acquireFailover(ctx context.Context, call *Call, resp *Response) bool {
	if !d.failover || resp.Status < http.StatusInternalServerError || !call.Route.Idempotent || call.Body.spent() {
		return false
	}
	return d.acquireRetry(ctx, call, nil)
}

func (d *Dispatcher) reportResend(call *Call, target *balancer.Target, reason string, err error) {
	d.reporter.Event("resent", "request", call.Parent.ID, "service", call.Service, "from", target.Member.GetName(),
		"reason", reason, "code", uint32(refuser.CodeOf(err)))
}

// sendFixedRetries sends a call up to a fixed number of times.
func (d *Dispatcher) sendFixedRetries(ctx context.Context, call *Call) (*Response, error) {
	call.Retryable = false
	var last error
	for range d.retriesPerCall + 1 {
		need := d.need(call)
		target, ok := d.picker.PickInTime(call.Service, need, nil)
		if !ok {
			return nil, missingError(need)
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
		if ctx.Err() != nil || call.Body.spent() {
			break
		}
		d.retryCounts.Add(reasonIdempotent, 1)
	}
	return nil, last
}

// acquireRetry reports whether a call may be retried after an error, and
// consumes a retry if so. A nil error stands for a response that is a server
// error.
func (d *Dispatcher) acquireRetry(ctx context.Context, call *Call, err error) bool {
	code := refuser.CodeOf(err)
	if ctx.Err() != nil || code == refuser.DeadlineBeforeRun || code == refuser.DeadlinePassed {
		return false
	}
	reason := reasonIdempotent
	if err != nil && code.Info().Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		reason = reasonNotRun
	} else if !call.Route.Idempotent {
		return d.keepResult(call, reasonNotIdempotent, code)
	}
	if !call.Retryable || !call.mayOffer() || !call.Parent.Budget.TryConsume() {
		return d.keepResult(call, reasonBudget, code)
	}
	if !d.retryThrottler.AllowRetry(ctx, call.Service, call.Route.Name) {
		return d.keepResult(call, reasonThrottle, code)
	}
	d.retryCounts.Add(reason, 1)
	return true
}

// keepResult records why a call is not sent again, and returns false.
func (d *Dispatcher) keepResult(call *Call, reason string, code refuser.Code) bool {
	d.retryCounts.Add(reason, 1)
	d.reporter.Event("not_resent", "request", call.Parent.ID, "service", call.Service, "reason", reason, "code", uint32(code),
		"offered", call.offered, "attempts", call.Route.Attempts)
	return false
}

// attempt is one transmission of a call to a node.
type attempt struct {
	id     string
	target *balancer.Target
	call   *Call
	sent   time.Time
	// delegatedRetries is the part of the retry budget passed to the node.
	delegatedRetries uint32
	// ctx is the context of the call. It is canceled when the caller disconnects.
	ctx context.Context
}

// callerCanceled reports whether the caller no longer waits for the response.
func (a *attempt) callerCanceled() bool { return errors.Is(a.ctx.Err(), context.Canceled) }

// send makes one attempt. The second result reports whether an upstream may
// have seen the call.
func (d *Dispatcher) send(ctx context.Context, call *Call, target *balancer.Target) (*Response, bool, error) {
	a := d.newAttempt(call, target)
	a.ctx = ctx
	ctx, answered, cancel := answerContext(ctx, call.Parent.Deadline, call.answerDeadline)
	watch := d.startWatch(ctx, cancel, a)
	resp, err := d.transport.RoundTrip(d.newNodeRequest(ctx, a))
	answered()
	progress := watch.stop()
	if err == nil && progress != schema.Progress_PROGRESS_UNSPECIFIED {
		// The watch gave up the attempt while its response began.
		resp.Body.Close()
		err = context.Canceled
	}
	if err != nil {
		cancel()
		sent := resp != nil || transporter.Sent(err)
		err = d.attemptError(ctx, a, progress, sent)
		return nil, refuser.CodeOf(err).Info().Outcome != schema.Outcome_OUTCOME_NOT_RUN, err
	}
	return d.handleResponse(a, resp, cancel)
}

func (d *Dispatcher) newAttempt(call *Call, target *balancer.Target) *attempt {
	name, incarnation := d.identity.Identity()
	number := d.attemptCount.Add(1)
	sender := xxhash.Sum64String(name + "/" + strconv.FormatUint(incarnation, 36))
	id := strconv.FormatUint(sender, 36) + "/" + strconv.FormatUint(number, 36)
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
		Request:     []byte(parent.ID),
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
		Digest:      call.Body.digest,
	}
	if !d.quarantine.Empty() {
		// The receiver may not have heard of the crash of a moment ago.
		envelope.Suspicion = d.quarantine.Suspicion(call.fingerprint())
	}
	if call.Route.TargetLatency > 0 {
		envelope.Objective = durationpb.New(call.Route.TargetLatency)
	}
	header := maps.Clone(call.Header)
	method := nodeMethod(call.Method)
	if a.target.Member.GetPacks() {
		if call.Method == http.MethodGet && call.Body.length == 0 {
			// A POST would state the length of its body.
			method = http.MethodGet
		}
		if call.Method != method {
			envelope.Method = call.Method
		}
		header[HeaderEnvelope] = []string{encodeCompact(envelope)}
	} else {
		header[HeaderEnvelope] = []string{encodeHeader(envelope)}
		header[headerMethod] = []string{call.Method}
	}
	if envelope.Digest != nil {
		// The receiver asks for the body once the call runs, so that it can be sent elsewhere
		// if it does not.
		header["Expect"] = []string{"100-continue"}
	}
	req := newRequest(ctx, method, call.URL, a.target.Member.GetAddress(), header, call.Body)
	if a.target.Member.GetPacks() {
		// HTTP requires a host, but the receiver takes that of the envelope.
		req.Host = nodeHost
	}
	return req
}

// nodeMethod returns the method of the request between nodes that carries a request of a
// caller. The answer to a HEAD states the length of a body that does not follow, which
// both ends of a connection must know.
func nodeMethod(method string) string {
	if method == http.MethodHead {
		return method
	}
	return http.MethodPost
}

// newRequest returns a request for an address with the path and query of a URL.
func newRequest(ctx context.Context, method string, from *url.URL, address string, h http.Header, body Body) *http.Request {
	u := &url.URL{Host: address, Path: from.Path, RawPath: from.RawPath, RawQuery: from.RawQuery, ForceQuery: from.ForceQuery}
	req := &http.Request{Method: method, URL: u, Header: h}
	body.attach(req)
	return req.WithContext(ctx)
}

// handleResponse converts the response of a node into a Response or a refusal.
func (d *Dispatcher) handleResponse(a *attempt, resp *http.Response, cancel context.CancelFunc) (*Response, bool, error) {
	report := decodeReport(resp.Header)
	latency := time.Since(a.sent)
	if report == nil {
		unread := a.target.Member.GetPacks() && envelopeUnread(resp)
		resp.Body.Close()
		cancel()
		if unread {
			a.target.Done(balancer.Refused, latency)
			return nil, false, &refuser.Error{Code: refuser.IncarnationChanged}
		}
		a.target.Done(balancer.Unreachable, latency)
		return nil, true, &refuser.Error{Code: refuser.ReceiverUnclear}
	}
	restoreEndpoint(report.GetEndpoint(), a.call.Service, a.target.Member)
	a.target.RecordLoad(report.GetEndpoint())
	d.recordReport(a.call, report)
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
	offered := report.GetOffered() || code.Info().Outcome != schema.Outcome_OUTCOME_NOT_RUN
	return nil, offered, &refuser.Error{Code: code}
}

// resultOf maps a refusal code to the result recorded for the node that sent it.
func resultOf(code refuser.Code) balancer.Result {
	switch {
	case code == refuser.UpstreamShed || code == refuser.UpstreamLost:
		return balancer.Failed
	case code == refuser.UpstreamCold:
		return balancer.Cold
	case code == refuser.DeadlinePassed || code == refuser.DeadlineBeforeRun || code == refuser.CallerGone || code == refuser.BodyCut:
		return balancer.Abandoned
	case code.Info().Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		return balancer.Refused
	}
	return balancer.Unreachable
}

// responseBody ends the attempt when the body is closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	done   func()
}

// Close closes the body and ends the attempt.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	b.done()
	return err
}
