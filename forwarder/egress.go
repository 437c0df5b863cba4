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

// Egress handles calls made by the local upstream.
type Egress struct {
	state        State
	tracker      *tracker.Tracker
	dispatcher   *Dispatcher
	refuser      *refuser.Refuser
	maxBodyBytes int64
}

// NewEgress returns the handler for calls of the upstream. maxBodyBytes limits
// the size of a request body.
func NewEgress(s State, t *tracker.Tracker, d *Dispatcher, r *refuser.Refuser, maxBodyBytes int64) *Egress {
	return &Egress{state: s, tracker: t, dispatcher: d, refuser: r, maxBodyBytes: maxBodyBytes}
}

// ServeHTTP dispatches a call as part of the request identified by its ticket.
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
	response, err := e.serve(ctx, w, r, parent)
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = parent.ID
		e.refuser.Refuse(w, code, detail)
		return
	}
	Native{}.SetResponseHeaders(w.Header(), parent.ID)
	writeResponse(w, response)
}

func (e *Egress) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, parent *tracker.Request) (*Response, error) {
	route, err := e.route(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.maxBodyBytes))
	if err != nil {
		return nil, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	call := &Call{
		Parent:    childRequest(parent, route),
		Route:     route,
		Service:   route.NextService(),
		Nested:    true,
		Method:    r.Method,
		URL:       r.URL,
		Header:    forwardedHeader(r.Header, Native{}),
		Body:      body,
		Retryable: true,
	}
	response, err := e.dispatcher.Do(ctx, call)
	parent.Pressure.Raise(call.Parent.Pressure.Level())
	return response, err
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

// childRequest returns the request record for a call made on behalf of parent: it
// has the earlier of the deadlines of parent and route, and shares the retry budget
// of the parent.
func childRequest(parent *tracker.Request, route *resolver.Route) *tracker.Request {
	deadline := parent.Deadline
	if route.Timeout > 0 {
		if routeDeadline := time.Now().Add(route.Timeout); routeDeadline.Before(deadline) {
			deadline = routeDeadline
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
