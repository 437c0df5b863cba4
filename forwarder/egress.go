package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/tracker"
)

// Egress takes calls made by the upstream beside this node.
type Egress struct {
	state      State
	tracker    *tracker.Tracker
	dispatcher *Dispatcher
	refuser    *refuser.Refuser
	body       int64
}

// NewEgress returns the handler for calls of the upstream; body is the largest
// request body in bytes.
func NewEgress(s State, t *tracker.Tracker, d *Dispatcher, r *refuser.Refuser, body int64) *Egress {
	return &Egress{state: s, tracker: t, dispatcher: d, refuser: r, body: body}
}

// ServeHTTP sends a call on as part of the request named by its ticket.
func (e *Egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parent, ok := e.tracker.Find(r.Header.Get(HeaderTicket))
	if !ok {
		code := refuser.TicketUnknown
		if r.Header.Get(HeaderTicket) == "" {
			code = refuser.TicketMissing
		}
		e.refuser.Refuse(w, code, refuser.Detail{})
		return
	}
	parent.CallTimer.Begin()
	defer parent.CallTimer.End()
	ctx, cancel := context.WithDeadline(r.Context(), parent.Deadline)
	defer cancel()
	answer, err := e.serve(ctx, w, r, parent)
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = parent.ID
		e.refuser.Refuse(w, code, detail)
		return
	}
	Native{}.Greet(w.Header(), parent.ID)
	writeAnswer(w, answer)
}

func (e *Egress) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, parent *tracker.Request) (*Answer, error) {
	route, err := e.route(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.body))
	if err != nil {
		return nil, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	call := &Call{
		Parent:  narrow(parent, route),
		Route:   route,
		Service: route.Next(),
		Nested:  true,
		Method:  r.Method,
		URL:     r.URL,
		Header:  cleanHeader(r.Header, Native{}),
		Body:    body,
		Retries: true,
	}
	answer, err := e.dispatcher.Do(ctx, call)
	parent.Pressure.Raise(call.Parent.Pressure.Level())
	return answer, err
}

func (e *Egress) route(r *http.Request) (*resolver.Route, error) {
	snapshot := e.state.Snapshot()
	if snapshot == nil {
		return nil, &refuser.Error{Code: refuser.StateMissing}
	}
	route, ok := snapshot.Route("", r.Method, r.URL.Path)
	if !ok {
		return nil, &refuser.Error{Code: refuser.RouteUnknown}
	}
	return route, nil
}

// narrow returns the parent as seen by a call, with the shorter of the two
// deadlines and the parent's own budget.
func narrow(parent *tracker.Request, route *resolver.Route) *tracker.Request {
	deadline := parent.Deadline
	if route.Timeout > 0 {
		if own := time.Now().Add(route.Timeout); own.Before(deadline) {
			deadline = own
		}
	}
	return &tracker.Request{
		ID:        parent.ID,
		Workspace: parent.Workspace,
		Class:     parent.Class,
		Rank:      parent.Rank,
		Deadline:  deadline,
		Depth:     parent.Depth,
		Budget:    parent.Budget,
	}
}
