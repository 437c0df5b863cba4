package forwarder

import (
	"context"
	"net/http"
	"time"

	"quetzalhub/accountant"
	"quetzalhub/pacer"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/tracker"
)

// Egress handles calls made by the local upstream.
type Egress struct {
	EgressOptions
}

// EgressOptions holds the dependencies and settings of an Egress.
type EgressOptions struct {
	State      State
	Tracker    *tracker.Tracker
	Dispatcher *Dispatcher
	Refuser    *refuser.Refuser
	// MaxBodyBytes limits the size of a request body, and KeptBytes the part of it that is
	// kept. The default is to keep all.
	MaxBodyBytes, KeptBytes int64
	// Accountant bounds the memory for bodies and responses. It may be nil.
	Accountant *accountant.Accountant
	// Pacer spaces out the copying of large bodies. It may be nil.
	Pacer *pacer.Pacer
}

// NewEgress returns the handler for calls of the upstream.
func NewEgress(o EgressOptions) *Egress {
	if o.KeptBytes == 0 {
		o.KeptBytes = o.MaxBodyBytes
	}
	return &Egress{o}
}

// ServeHTTP dispatches a call as part of the request identified by its ticket.
func (e *Egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parent, ok := e.Tracker.Find(r.Header.Get(HeaderTicket))
	if !ok {
		code := refuser.TicketUnknown
		if r.Header.Get(HeaderTicket) == "" {
			code = refuser.TicketMissing
		}
		e.Refuser.Refuse(w, code, refuser.Detail{})
		return
	}
	parent.CallTimer.Begin()
	defer parent.CallTimer.End()
	ctx, cancel := context.WithDeadline(r.Context(), parent.Deadline)
	defer cancel()
	loan := e.Accountant.Open(parent.Workspace, parent.Class)
	defer loan.Close()
	response, err := e.serve(ctx, w, r, parent, loan)
	if err != nil {
		code, detail := refusalOf(err)
		detail.Request = parent.ID
		e.Refuser.Refuse(w, code, detail)
		return
	}
	loan.Close()
	loan.Take(responseBytes(response))
	defer limitWrites(w, response, parent.Deadline)()
	Native{}.SetResponseHeaders(w.Header(), parent.ID)
	writeResponse(w, r, response, nil)
}

func (e *Egress) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, parent *tracker.Request, loan *accountant.Loan) (*Response, error) {
	route, err := e.route(r)
	if err != nil {
		return nil, err
	}
	reader := &bodyReader{
		request: r, writer: w, loan: loan, pacer: e.Pacer, keep: e.KeptBytes, limit: e.MaxBodyBytes, deadline: parent.Deadline, noRoom: refuser.MemoryFull,
	}
	body, err := reader.read()
	if err != nil {
		return nil, err
	}
	defer reader.close()
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
		bounds:    regionBounds{method: r.Method, path: r.URL.Path, regions: resolver.Regions{Route: route.Regions}},
	}
	response, err := e.Dispatcher.Do(ctx, call)
	parent.Pressure.Raise(call.Parent.Pressure.Level())
	return response, err
}

func (e *Egress) route(r *http.Request) (*resolver.Route, error) {
	snapshot := e.State.Snapshot()
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
