package forwarder

import (
	"context"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
)

// EntryOptions are the parts of an entry.
type EntryOptions struct {
	// DefaultTimeout applies to routes that name none.
	DefaultTimeout time.Duration
	// RetryBudget is the number of extra attempts for a whole request.
	RetryBudget uint32
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// Service is beside this node; it may be empty.
	Service string

	Dialect          Dialect
	State            State
	Admitter         Admitter
	Dispatcher       *Dispatcher
	IdempotencyStore IdempotencyStore
	Refuser          *refuser.Refuser
	// Parents finds the request for which a nested one was made, if nested
	// requests come in here.
	Parents ParentFinder
	// Adviser tells refused callers when to come back. It may be nil.
	Adviser RetryAdviser
	// Regulator sheds load. If it is nil, levels that travel back with answers
	// decide.
	Regulator LoadShedder
	// Reporter notes decisions.
	Reporter Reporter
	// ObserveLatency is told how long each request took; it may be nil.
	ObserveLatency func(time.Duration)
}

// holdShare is the part of its objective for which a request may wait at the
// entrance: one that is refused after a longer wait is late when it comes back.
const admissionWaitDivisor = 8

// returnShare is the part of its objective, in percent, after which a request
// beyond its workspace's rate may come back at the latest.
const maxRetryAfterPercent = 30

// ParentFinder finds the active requests for which calls are made.
type ParentFinder interface {
	Infer(c tracker.Clue) (tracker.Match, bool)
}

// RetryAdviser tells when a refused request may come back.
type RetryAdviser interface {
	// RetryAfter gives the time to wait for a caller that waits that much longer.
	RetryAfter(code refuser.Code, left time.Duration) time.Duration
}

// LoadShedder refuses requests for which there is no room on their way.
type LoadShedder interface {
	// Admit returns a *refuser.Error with code ShedAtEntry if there is none.
	Admit(c *Call, class schema.Class, rank uint32) error
	// ObserveCall takes in what a call has met on its way.
	ObserveCall(c *Call)
}

// Reporter notes decisions on requests.
type Reporter interface {
	Event(name string, fields ...any)
}

// Entry takes requests from callers.
type Entry struct {
	EntryOptions
}

// NewEntry returns the handler for callers.
func NewEntry(o EntryOptions) *Entry {
	if o.Regulator == nil {
		o.Regulator = newShedder()
	}
	return &Entry{EntryOptions: o}
}

// ServeHTTP admits a request and answers it.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	info, err := e.Dialect.ParseRequest(r)
	e.Dialect.SetResponseHeaders(w.Header(), info.ID)
	var response *entryResponse
	if err == nil {
		response, err = e.serve(w, r, &info)
	}
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = info.ID
		if e.Adviser != nil && detail.Retry == 0 && info.Timeout > 0 {
			detail.Retry = e.Adviser.RetryAfter(code, info.Timeout-time.Since(started))
		}
		e.Refuser.Refuse(w, code, detail)
		e.Reporter.Event("refused", "request", info.ID, "code", uint32(code), "reason", code.Meaning().Name,
			"note", detail.Note, "path", info.Path, "parent", info.parentID, "held", time.Since(started), "retry", detail.Retry)
		return
	}
	defer response.cancel()
	writeResponse(w, response.Response)
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

// entryAnswer keeps the request's context until its answer is sent.
type entryResponse struct {
	*Response
	cancel context.CancelFunc
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, info *RequestInfo) (*entryResponse, error) {
	workspace, route, err := e.authorize(r, *info)
	if err != nil {
		return nil, err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return nil, err
	}
	call := &Call{
		Route:     route,
		Service:   route.Next(),
		Origin:    e.Service,
		Method:    r.Method,
		Host:      info.Host,
		URL:       r.URL,
		Header:    forwardedHeader(r.Header, e.Dialect),
		Body:      body,
		Retryable: true,
	}
	if info.Nested && e.Parents != nil {
		clue := tracker.Clue{Route: route.Name, Deadline: time.Now().Add(info.Timeout), Connection: r.RemoteAddr}
		if match, ok := e.Parents.Infer(clue); ok {
			info.parentID = match.Request.ID
			return e.dispatchNested(r.Context(), call, match, *info)
		}
	}
	return e.admit(r, call, *info, workspace)
}

// nested sends a call on as part of the request for which it was made. It is
// not shed here: the work done for its parent would be lost with it.
func (e *Entry) dispatchNested(ctx context.Context, call *Call, match tracker.Match, info RequestInfo) (*entryResponse, error) {
	parent := match.Request
	parent.Below.Begin()
	defer parent.Below.End()
	call.Parent = childRequest(parent, call.Route)
	call.Parent.ID = info.ID
	if callDeadline := time.Now().Add(info.Timeout); callDeadline.Before(call.Parent.Deadline) {
		call.Parent.Deadline = callDeadline
	}
	call.Nested = true
	if match.Certain {
		parent.Calls.Add(call.Route.Name)
	} else {
		parent.Guesses.Add(call.Route.Name)
	}
	response, err := e.dispatch(ctx, call)
	parent.Pressure.Raise(call.Parent.Pressure.Level())
	return response, err
}

// admit decides whether a request of a caller is served now.
func (e *Entry) admit(r *http.Request, call *Call, info RequestInfo, workspace string) (*entryResponse, error) {
	route := call.Route
	class := e.State.Snapshot().Class(route, workspace)
	rank := mathrand.Uint32N(guard.RankLimit)
	if !route.Open {
		if err := e.Admitter.Admit(r.Context(), workspace, route.Objective/admissionWaitDivisor); err != nil {
			return nil, capRetryAfter(err, route.Objective)
		}
	}
	// What is beyond a rate is not served in any case, so it must not count in
	// the load by which others are refused.
	if err := e.Regulator.Admit(call, class, rank); err != nil {
		if r, ok := e.Admitter.(Restorer); ok && !route.Open {
			r.Restore(workspace)
		}
		return nil, err
	}
	call.Parent = &tracker.Request{
		ID:        info.ID,
		Workspace: workspace,
		Class:     class,
		Rank:      rank,
		Deadline:  time.Now().Add(e.timeout(route, info)),
		Budget:    tracker.NewBudget(e.retryBudget(route)),
	}
	if key := r.Header.Get(headerKey); key != "" && !route.Idempotent && !route.Open && e.IdempotencyStore != nil {
		return e.dispatchWithKey(r.Context(), call, key)
	}
	return e.dispatch(r.Context(), call)
}

// shedRetry is the time after which a shed request may come back where no
// adviser knows better.
func (e *Entry) defaultRetryAfter() time.Duration {
	if e.Adviser != nil {
		return 0
	}
	return time.Second
}

// soon lets a caller that is beyond its rate come back while it can still be
// served within its objective: tokens come in small amounts all the time.
func capRetryAfter(err error, objective time.Duration) error {
	refusal, ok := err.(*refuser.Error)
	if ok && objective > 0 {
		refusal.Detail.Retry = min(refusal.Detail.Retry, objective*maxRetryAfterPercent/100)
	}
	return err
}

// timeout returns the time for which a request may take.
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

// budget returns the number of extra attempts for a request.
func (e *Entry) retryBudget(route *resolver.Route) uint32 {
	if route.Attempts > 0 {
		return route.Attempts - 1
	}
	return e.RetryBudget
}

func (e *Entry) dispatch(ctx context.Context, call *Call) (*entryResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Parent.Deadline)
	response, err := e.Dispatcher.Do(ctx, call)
	e.Regulator.ObserveCall(call)
	if err != nil {
		cancel()
		return nil, err
	}
	return &entryResponse{response, cancel}, nil
}

// authorize finds the workspace and the route of a request.
func (e *Entry) authorize(r *http.Request, info RequestInfo) (string, *resolver.Route, error) {
	snapshot := e.State.Snapshot()
	if snapshot == nil {
		return "", nil, &refuser.Error{Code: refuser.StateMissing, Detail: refuser.Detail{Retry: e.defaultRetryAfter()}}
	}
	route, ok := snapshot.Route(info.Host, r.Method, info.Path)
	if !ok {
		return "", nil, &refuser.Error{Code: refuser.RouteUnknown}
	}
	if route.Open {
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
		return "", &refuser.Error{Code: refuser.StateStale, Detail: refuser.Detail{Retry: time.Second}}
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

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	if err != nil {
		return nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The body was cut short."}}
	}
	return body, nil
}
