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
	// Deadline applies to routes that name none.
	Deadline time.Duration
	// Retries is the number of extra attempts for a whole request.
	Retries uint32
	// Body is the largest request body in bytes.
	Body int64
	// Service is beside this node; it may be empty.
	Service string

	Dialect    Dialect
	State      State
	Admitter   Admitter
	Dispatcher *Dispatcher
	Homes      Homes
	Refuser    *refuser.Refuser
	// Parents finds the request for which a nested one was made, if nested
	// requests come in here.
	Parents Parents
	// Adviser tells refused callers when to come back. It may be nil.
	Adviser Adviser
	// Regulator sheds load. If it is nil, levels that travel back with answers
	// decide.
	Regulator Regulator
	// Reporter notes decisions.
	Reporter Reporter
	// Observe is told how long each request took; it may be nil.
	Observe func(time.Duration)
}

// holdShare is the part of its objective for which a request may wait at the
// entrance: one that is refused after a longer wait is late when it comes back.
const holdShare = 8

// returnShare is the part of its objective, in percent, after which a request
// beyond its workspace's rate may come back at the latest.
const returnShare = 30

// Parents finds the active requests for which calls are made.
type Parents interface {
	Infer(c tracker.CallAttributes) (tracker.Match, bool)
}

// Adviser tells when a refused request may come back.
type Adviser interface {
	// Return gives the time to wait for a caller that waits that much longer.
	Return(code refuser.Code, left time.Duration) time.Duration
}

// Regulator refuses requests for which there is no room on their way.
type Regulator interface {
	// Admit returns a *refuser.Error with code ShedAtEntry if there is none.
	Admit(c *Call, class schema.Class, rank uint32) error
	// Learn takes in what a call has met on its way.
	Learn(c *Call)
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
	ask, err := e.Dialect.Ask(r)
	e.Dialect.Greet(w.Header(), ask.ID)
	var answer *entryAnswer
	if err == nil {
		answer, err = e.serve(w, r, &ask)
	}
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = ask.ID
		if e.Adviser != nil && detail.Retry == 0 && ask.Left > 0 {
			detail.Retry = e.Adviser.Return(code, ask.Left-time.Since(started))
		}
		e.Refuser.Refuse(w, code, detail)
		e.Reporter.Event("refused", "request", ask.ID, "code", uint32(code), "reason", code.Meaning().Name,
			"note", detail.Note, "path", ask.Path, "parent", ask.parent, "held", time.Since(started), "retry", detail.Retry)
		return
	}
	defer answer.cancel()
	writeAnswer(w, answer.Answer)
	held := time.Since(started)
	if e.Observe != nil {
		e.Observe(held)
	}
	event := "answered"
	if answer.Status >= http.StatusInternalServerError {
		event = "failed"
	}
	e.Reporter.Event(event, "request", ask.ID, "status", answer.Status, "by", answer.By, "path", ask.Path,
		"parent", ask.parent, "held", held)
}

// entryAnswer keeps the request's context until its answer is sent.
type entryAnswer struct {
	*Answer
	cancel context.CancelFunc
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, ask *Ask) (*entryAnswer, error) {
	workspace, route, err := e.authorize(r, *ask)
	if err != nil {
		return nil, err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return nil, err
	}
	call := &Call{
		Route:   route,
		Service: route.Next(),
		Origin:  e.Service,
		Method:  r.Method,
		Host:    ask.Host,
		URL:     r.URL,
		Header:  cleanHeader(r.Header, e.Dialect),
		Body:    body,
		Retries: true,
	}
	if ask.Nested && e.Parents != nil {
		clue := tracker.CallAttributes{Route: route.Name, Deadline: time.Now().Add(ask.Left), Connection: r.RemoteAddr}
		if match, ok := e.Parents.Infer(clue); ok {
			ask.parent = match.Request.ID
			return e.nested(r.Context(), call, match, *ask)
		}
	}
	return e.admit(r, call, *ask, workspace)
}

// nested sends a call on as part of the request for which it was made. It is
// not shed here: the work done for its parent would be lost with it.
func (e *Entry) nested(ctx context.Context, call *Call, match tracker.Match, ask Ask) (*entryAnswer, error) {
	parent := match.Request
	parent.CallTimer.Begin()
	defer parent.CallTimer.End()
	call.Parent = narrow(parent, call.Route)
	call.Parent.ID = ask.ID
	if own := time.Now().Add(ask.Left); own.Before(call.Parent.Deadline) {
		call.Parent.Deadline = own
	}
	call.Nested = true
	if match.Certain {
		parent.Calls.Add(call.Route.Name)
	} else {
		parent.InferredCalls.Add(call.Route.Name)
	}
	answer, err := e.dispatch(ctx, call)
	parent.Pressure.Raise(call.Parent.Pressure.Level())
	return answer, err
}

// admit decides whether a request of a caller is served now.
func (e *Entry) admit(r *http.Request, call *Call, ask Ask, workspace string) (*entryAnswer, error) {
	route := call.Route
	class := e.State.Snapshot().Class(route, workspace)
	rank := mathrand.Uint32N(guard.RankLimit)
	if !route.Open {
		if err := e.Admitter.Admit(r.Context(), workspace, route.Objective/holdShare); err != nil {
			return nil, soon(err, route.Objective)
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
		ID:        ask.ID,
		Workspace: workspace,
		Class:     class,
		Rank:      rank,
		Deadline:  time.Now().Add(e.timeout(route, ask)),
		Budget:    tracker.NewBudget(e.budget(route)),
	}
	if key := r.Header.Get(headerKey); key != "" && !route.Idempotent && !route.Open && e.Homes != nil {
		return e.once(r.Context(), call, key)
	}
	return e.dispatch(r.Context(), call)
}

// shedRetry is the time after which a shed request may come back where no
// adviser knows better.
func (e *Entry) shedRetry() time.Duration {
	if e.Adviser != nil {
		return 0
	}
	return time.Second
}

// soon lets a caller that is beyond its rate come back while it can still be
// served within its objective: tokens come in small amounts all the time.
func soon(err error, objective time.Duration) error {
	refusal, ok := err.(*refuser.Error)
	if ok && objective > 0 {
		refusal.Detail.Retry = min(refusal.Detail.Retry, objective*returnShare/100)
	}
	return err
}

// timeout returns the time for which a request may take.
func (e *Entry) timeout(route *resolver.Route, ask Ask) time.Duration {
	timeout := e.Deadline
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if ask.Left > 0 {
		timeout = min(timeout, ask.Left)
	}
	return timeout
}

// budget returns the number of extra attempts for a request.
func (e *Entry) budget(route *resolver.Route) uint32 {
	if route.Attempts > 0 {
		return route.Attempts - 1
	}
	return e.Retries
}

func (e *Entry) dispatch(ctx context.Context, call *Call) (*entryAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Parent.Deadline)
	answer, err := e.Dispatcher.Do(ctx, call)
	e.Regulator.Learn(call)
	if err != nil {
		cancel()
		return nil, err
	}
	return &entryAnswer{answer, cancel}, nil
}

// authorize finds the workspace and the route of a request.
func (e *Entry) authorize(r *http.Request, ask Ask) (string, *resolver.Route, error) {
	snapshot := e.State.Snapshot()
	if snapshot == nil {
		return "", nil, &refuser.Error{Code: refuser.StateMissing, Detail: refuser.Detail{Retry: e.shedRetry()}}
	}
	route, ok := snapshot.Route(ask.Host, r.Method, ask.Path)
	if !ok {
		return "", nil, &refuser.Error{Code: refuser.RouteUnknown}
	}
	if route.Open {
		return "", route, nil
	}
	workspace, err := e.workspace(snapshot, ask.Secret)
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.Body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	if err != nil {
		return nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The body was cut short."}}
	}
	return body, nil
}
