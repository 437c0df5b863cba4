package forwarder

import (
	"context"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"quetzalhub/accountant"
	"quetzalhub/guard"
	"quetzalhub/pacer"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
)

// EntryOptions holds the dependencies and settings of an Entry.
type EntryOptions struct {
	// DefaultTimeout applies to routes without a timeout of their own.
	DefaultTimeout time.Duration
	// RetryBudget is the number of retries for a request and all calls made on
	// its behalf, for routes that do not set a number of attempts.
	RetryBudget uint32
	// MaxBodyBytes limits the size of a request body, and KeptBytes the part of it that is
	// kept. The default is to keep all.
	MaxBodyBytes, KeptBytes int64
	// Accountant bounds the memory for bodies and responses. It may be nil.
	Accountant *accountant.Accountant
	// Pacer spaces out the copying of large bodies. It may be nil.
	Pacer *pacer.Pacer
	// Origin names the service of the upstream beside the node. It may be nil.
	Origin Origin

	Dialect          Dialect
	State            State
	Admitter         Admitter
	Dispatcher       *Dispatcher
	IdempotencyStore IdempotencyStore
	Refuser          *refuser.Refuser
	// Parents finds the request that made a nested one. It is nil if nested
	// requests do not arrive at this handler.
	Parents ParentFinder
	// Adviser sets the retry delay in refusals. It may be nil.
	Adviser RetryAdviser
	// LoadShedder sheds load. If it is nil, requests are shed by the levels that
	// nodes report with their responses.
	LoadShedder LoadShedder
	// Lifetime limits requests to the time until a planned stop. It may be nil.
	Lifetime *Lifetime
	// Reporter records decisions on requests.
	Reporter Reporter
	// ObserveLatency receives the duration of each request with a response. It
	// may be nil.
	ObserveLatency func(time.Duration)
}

// admissionWaitDivisor limits the wait for a token to this fraction of the
// latency objective, 1/8. A request refused after a longer wait misses its
// objective when the caller retries it.
const admissionWaitDivisor = 8

// maxRetryAfterPercent limits the retry delay of a request beyond its
// workspace's rate to this percentage of the latency objective.
const maxRetryAfterPercent = 30

// ParentFinder finds the active request on whose behalf a call was made.
type ParentFinder interface {
	Infer(c tracker.CallAttributes) (tracker.Match, bool)
	// Series returns the number of calls on a route that a request has still to make in
	// turn, at least 1.
	Series(r *tracker.Request, call string) int
}

// RetryAdviser determines when a refused request may be retried.
type RetryAdviser interface {
	// RetryAfter returns the delay before a retry; left is the time for which the
	// caller still waits.
	RetryAfter(code refuser.Code, left time.Duration) time.Duration
}

// LoadShedder refuses requests that the services on their path cannot serve.
type LoadShedder interface {
	// Admit returns a *refuser.Error with code ShedAtEntry if it sheds the call.
	Admit(c *Call, class schema.Class, rank uint32) error
	// ObserveCall records the load that the nodes on the path of a call reported.
	ObserveCall(c *Call)
}

// Reporter records decisions on requests as events.
type Reporter interface {
	Event(name string, fields ...any)
}

// Origin names the service of the upstream beside a node, where requests of callers begin.
type Origin interface {
	// LocalService returns false while it is not known which instance has the address of
	// the upstream.
	LocalService() (name string, ok bool)
}

// Entry handles requests of callers.
type Entry struct {
	EntryOptions
}

// NewEntry returns the handler for requests of callers.
func NewEntry(o EntryOptions) *Entry {
	if o.LoadShedder == nil {
		o.LoadShedder = newShedder()
	}
	if o.KeptBytes == 0 {
		o.KeptBytes = o.MaxBodyBytes
	}
	return &Entry{EntryOptions: o}
}

// ServeHTTP admits a request and responds with the response of the upstream or
// a refusal.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	info, err := e.Dialect.ParseRequest(r)
	info.received = started
	e.Dialect.SetResponseHeaders(w.Header(), info.ID)
	var response *entryResponse
	if err == nil {
		response, err = e.serve(w, r, &info)
	}
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = info.ID
		if e.Adviser != nil && detail.RetryAfter == 0 && info.Timeout > 0 {
			detail.RetryAfter = e.Adviser.RetryAfter(code, info.Timeout-time.Since(started))
		}
		e.Refuser.Refuse(w, code, detail)
		e.Reporter.Event("refused", "request", info.ID, "code", uint32(code), "reason", code.Info().Name,
			"note", detail.Note, "path", info.Path, "parent", info.parentID, "held", time.Since(started), "retry", detail.RetryAfter)
		return
	}
	defer response.end()
	writeResponse(w, r, response.Response, func(err error) {
		e.Reporter.Event("answer_cut", "request", info.ID, "status", response.Status, "by", response.Node, "path", info.Path,
			"held", time.Since(started), "err", err)
	})
	elapsed := time.Since(started)
	if e.ObserveLatency != nil {
		e.ObserveLatency(elapsed)
	}
	event := "answered"
	if response.Status >= http.StatusInternalServerError {
		event = "failed"
	}
	e.Reporter.Event(event, "request", info.ID, "status", response.Status, "by", response.Node, "path", info.Path,
		"parent", info.parentID, "held", elapsed)
}

// entryResponse is a response with the function that ends its request. The context of the
// request must remain valid until the response is written.
type entryResponse struct {
	*Response
	end func()
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, info *RequestInfo) (*entryResponse, error) {
	workspace, route, err := e.authorize(r, *info)
	if err != nil {
		return nil, err
	}
	loan := e.Accountant.Open(workspace, e.State.Snapshot().Class(route, workspace))
	deadline := info.received.Add(e.timeout(route, *info))
	reader := &bodyReader{
		request: r, writer: w, loan: loan, pacer: e.Pacer, keep: e.KeptBytes, limit: e.MaxBodyBytes, deadline: deadline, noRoom: refuser.MemoryFull,
	}
	response, err := e.serveBody(r, info, workspace, route, reader)
	// The body is no longer needed.
	reader.close()
	loan.Close()
	if err != nil {
		return nil, err
	}
	loan.Take(responseBytes(response.Response))
	unlimit := limitWrites(w, response.Response, deadline)
	cancel := response.end
	response.end = func() {
		cancel()
		unlimit()
		loan.Close()
	}
	return response, nil
}

// serveBody reads the body of a request and dispatches the request.
func (e *Entry) serveBody(r *http.Request, info *RequestInfo, workspace string, route *resolver.Route, reader *bodyReader) (*entryResponse, error) {
	origin, hasOrigin := e.origin()
	body, err := reader.read()
	if err != nil {
		return nil, err
	}
	call := &Call{
		Route:     route,
		Service:   route.NextService(),
		Origin:    origin,
		Method:    r.Method,
		Host:      info.Host,
		URL:       r.URL,
		Header:    forwardedHeader(r.Header, e.Dialect),
		Body:      body,
		Retryable: true,
		bounds:    regionBounds{info.Host, r.Method, info.Path, workspace, e.State.Snapshot().Regions(route, workspace)},
	}
	if info.Nested && e.Parents != nil {
		attributes := tracker.CallAttributes{Route: route.Name, Deadline: info.received.Add(info.Timeout), Connection: r.RemoteAddr}
		if match, ok := e.Parents.Infer(attributes); ok {
			info.parentID = match.Request.ID
			if !hasOrigin && !match.Certain {
				return nil, &refuser.Error{Code: refuser.OriginUnknown}
			}
			return e.dispatchNested(r.Context(), call, match, *info)
		}
	}
	if !hasOrigin {
		return nil, &refuser.Error{Code: refuser.OriginUnknown, Detail: refuser.Detail{RetryAfter: e.defaultRetryAfter()}}
	}
	return e.admit(r, call, *info, workspace)
}

// origin returns the service of the upstream beside the node, and whether it is known.
func (e *Entry) origin() (string, bool) {
	if e.Origin == nil {
		return "", true
	}
	return e.Origin.LocalService()
}

// dispatchNested dispatches a call as part of the request that made it. Nested
// calls are not shed here, because the work already done for the parent would
// be lost.
func (e *Entry) dispatchNested(ctx context.Context, call *Call, match tracker.Match, info RequestInfo) (*entryResponse, error) {
	parent := match.Request
	parent.CallTimer.Begin()
	defer parent.CallTimer.End()
	call.Parent = childRequest(parent, call.Route)
	call.Parent.ID = info.ID
	if match.Certain && parent.Service != "" {
		call.Origin = parent.Service
	}
	if callDeadline := info.received.Add(info.Timeout); callDeadline.Before(call.Parent.Deadline) {
		call.Parent.Deadline = callDeadline
	}
	call.answerDeadline = call.Parent.Deadline
	// A call is not refused because the node stops, since its parent's work would be lost.
	call.Parent.Deadline, _ = e.Lifetime.Limit(call.Parent.Deadline, 0)
	call.Nested = true
	call.series, call.seriesDeadline = e.Parents.Series(parent, call.Route.Name), parent.Deadline
	if match.Certain {
		parent.Calls.Add(call.Route.Name)
	} else {
		parent.InferredCalls.Add(call.Route.Name)
	}
	response, err := e.dispatch(ctx, call)
	parent.Pressure.Raise(call.Parent.Pressure.Level())
	return response, err
}

// admit applies the rate limit and load shedding to a request of a caller and
// dispatches it if it is admitted.
func (e *Entry) admit(r *http.Request, call *Call, info RequestInfo, workspace string) (*entryResponse, error) {
	route := call.Route
	class := e.State.Snapshot().Class(route, workspace)
	rank := mathrand.Uint32N(guard.RanksPerClass)
	call.answerDeadline = info.received.Add(e.timeout(route, info))
	deadline, ok := e.Lifetime.Limit(call.answerDeadline, route.TargetLatency)
	if !ok {
		return nil, &refuser.Error{Code: refuser.Draining}
	}
	if err := e.Dispatcher.checkRegions(call); err != nil {
		return nil, err
	}
	if !route.AllowAnonymous {
		if err := e.Admitter.Admit(r.Context(), workspace, route.TargetLatency/admissionWaitDivisor); err != nil {
			return nil, capRetryAfter(err, route.TargetLatency)
		}
	}
	// The rate limit comes first: requests beyond a rate are never served, so
	// they must not count towards the load for which others are shed.
	if err := e.LoadShedder.Admit(call, class, rank); err != nil {
		if r, ok := e.Admitter.(Restorer); ok && !route.AllowAnonymous {
			r.Restore(workspace)
		}
		return nil, err
	}
	call.Parent = &tracker.Request{
		ID:        info.ID,
		Workspace: workspace,
		Class:     class,
		Rank:      rank,
		Deadline:  deadline,
		Budget:    tracker.NewBudget(e.retryBudget(route)),
	}
	if key := r.Header.Get(headerKey); key != "" && !route.Idempotent && !route.AllowAnonymous && e.IdempotencyStore != nil {
		return e.dispatchWithKey(r.Context(), call, key)
	}
	return e.dispatch(r.Context(), call)
}

// defaultRetryAfter returns the retry delay for refusals if there is no Adviser. It
// returns 0 if there is one, which then sets the delay.
func (e *Entry) defaultRetryAfter() time.Duration {
	if e.Adviser != nil {
		return 0
	}
	return time.Second
}

// capRetryAfter limits the retry delay of a request beyond its rate so that a
// retry can still meet the latency objective. Tokens are refilled in small
// amounts all the time, so a token may be available before the full delay.
func capRetryAfter(err error, objective time.Duration) error {
	refusal, ok := err.(*refuser.Error)
	if ok && objective > 0 {
		refusal.Detail.RetryAfter = min(refusal.Detail.RetryAfter, objective*maxRetryAfterPercent/100)
	}
	return err
}

// timeout returns the time that a request may take: that of its route or the
// default, limited by the time for which the caller waits.
func (e *Entry) timeout(route *resolver.Route, info RequestInfo) time.Duration {
	timeout := e.DefaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if info.Timeout > 0 {
		timeout = min(timeout, info.Timeout)
	}
	return timeout
}

// retryBudget returns the number of retries for a request.
func (e *Entry) retryBudget(route *resolver.Route) uint32 {
	if route.Attempts > 0 {
		return route.Attempts - 1
	}
	return e.RetryBudget
}

func (e *Entry) dispatch(ctx context.Context, call *Call) (*entryResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Parent.Deadline)
	response, err := e.Dispatcher.Do(ctx, call)
	e.LoadShedder.ObserveCall(call)
	if err != nil {
		cancel()
		return nil, err
	}
	return &entryResponse{response, cancel}, nil
}

// authorize returns the workspace and the route of a request. The workspace is
// empty for open routes, which need no API key.
func (e *Entry) authorize(r *http.Request, info RequestInfo) (string, *resolver.Route, error) {
	snapshot := e.State.Snapshot()
	if snapshot == nil {
		return "", nil, &refuser.Error{Code: refuser.StateMissing, Detail: refuser.Detail{RetryAfter: e.defaultRetryAfter()}}
	}
	route, ok := snapshot.Route(info.Host, r.Method, info.Path)
	if !ok {
		return "", nil, &refuser.Error{Code: refuser.RouteUnknown}
	}
	if route.AllowAnonymous {
		return "", route, nil
	}
	workspace, err := e.workspace(snapshot, info.Secret)
	return workspace, route, err
}

func (e *Entry) workspace(snapshot *resolver.Snapshot, secret string) (string, error) {
	if secret == "" {
		return "", &refuser.Error{Code: refuser.KeyMissing}
	}
	if !e.State.Fresh() {
		return "", &refuser.Error{Code: refuser.StateStale, Detail: refuser.Detail{RetryAfter: time.Second}}
	}
	grant, ok := snapshot.Key(secret)
	if !ok {
		return "", &refuser.Error{Code: refuser.KeyUnknown}
	}
	if grant.Withdrawn {
		return "", &refuser.Error{Code: refuser.KeyWithdrawn}
	}
	return grant.Workspace, nil
}
