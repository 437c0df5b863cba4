package forwarder

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/tracker"
)

// EntryOptions tune an entry.
type EntryOptions struct {
	// Deadline applies to routes that name none.
	Deadline time.Duration
	// Retries is the number of extra attempts for a whole request.
	Retries uint32
	// Body is the largest request body in bytes.
	Body int64
}

// Entry takes requests from callers.
type Entry struct {
	options    EntryOptions
	state      State
	admitter   Admitter
	dispatcher *Dispatcher
	homes      Homes
	shedder    *shedder
	refuser    *refuser.Refuser
}

// NewEntry returns the handler for callers.
func NewEntry(o EntryOptions, s State, a Admitter, d *Dispatcher, h Homes, r *refuser.Refuser) *Entry {
	return &Entry{options: o, state: s, admitter: a, dispatcher: d, homes: h, shedder: newShedder(), refuser: r}
}

// ServeHTTP admits a request and answers it.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := rand.Text()
	w.Header().Set(HeaderRequest, id)
	answer, err := e.serve(w, r, id)
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = id
		e.refuser.Refuse(w, code, detail)
		return
	}
	defer answer.cancel()
	writeAnswer(w, answer.Answer, id, "")
}

// entryAnswer keeps the request's context until its answer is sent.
type entryAnswer struct {
	*Answer
	cancel context.CancelFunc
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, id string) (*entryAnswer, error) {
	workspace, route, err := e.authorize(r)
	if err != nil {
		return nil, err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return nil, err
	}
	rank := mathrand.Uint32N(guard.RankLimit)
	if !e.shedder.admits(route, guard.Priority(route.Class, rank)) {
		return nil, &refuser.Error{Code: refuser.ShedAtEntry, Detail: refuser.Detail{Retry: time.Second}}
	}
	if !route.Open {
		if err := e.admitter.Admit(r.Context(), workspace); err != nil {
			return nil, err
		}
	}
	timeout := e.options.Deadline
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	request := &tracker.Request{
		ID:        id,
		Workspace: workspace,
		Class:     route.Class,
		Rank:      rank,
		Deadline:  time.Now().Add(timeout),
		Budget:    tracker.NewBudget(e.options.Retries),
	}
	call := &Call{
		Parent:  request,
		Route:   route,
		Method:  r.Method,
		URL:     r.URL,
		Header:  cleanHeader(r.Header),
		Body:    body,
		Retries: true,
	}
	if key := r.Header.Get(headerKey); key != "" && !route.Idempotent && !route.Open {
		return e.once(r.Context(), call, key)
	}
	return e.dispatch(r.Context(), call)
}

func (e *Entry) dispatch(ctx context.Context, call *Call) (*entryAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Parent.Deadline)
	answer, err := e.dispatcher.Do(ctx, call)
	e.shedder.learn(call.Route, call.Parent.Pressure.Level())
	if err != nil {
		cancel()
		return nil, err
	}
	return &entryAnswer{answer, cancel}, nil
}

// authorize finds the workspace and the route of a request.
func (e *Entry) authorize(r *http.Request) (string, *resolver.Route, error) {
	snapshot := e.state.Snapshot()
	if snapshot == nil {
		return "", nil, &refuser.Error{Code: refuser.StateMissing, Detail: refuser.Detail{Retry: time.Second}}
	}
	secret, err := secretOf(r)
	if err != nil {
		return "", nil, err
	}
	if leaks(r, secret) {
		note := "The key may stand in the Authorization header only."
		return "", nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: note}}
	}
	route, ok := snapshot.Route(r.Method, r.URL.Path)
	if !ok {
		return "", nil, &refuser.Error{Code: refuser.RouteUnknown}
	}
	if route.Open {
		return "", route, nil
	}
	workspace, err := e.workspace(snapshot, secret)
	return workspace, route, err
}

func (e *Entry) workspace(snapshot *resolver.Snapshot, secret string) (string, error) {
	if secret == "" {
		return "", &refuser.Error{Code: refuser.KeyMissing}
	}
	if !e.state.Fresh() {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.options.Body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	if err != nil {
		return nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The body was cut short."}}
	}
	return body, nil
}
