// Package forwarder carries requests from callers to upstreams and the whole
// answers back.
//
// A request passes three handlers. Entry takes it from a caller at any node,
// finds workspace and route, and admits it. The dispatcher picks a node beside
// an upstream of the service and sends the call there, again to another one if
// it did not run or may run twice. Relay takes the call at that node, waits
// for the guard and runs it at the upstream. Calls made by an upstream come in
// at Egress of the node beside it and go to the dispatcher as part of the same
// request.
//
// # Usage
//
//	d := forwarder.NewDispatcher(...)
//	http.Serve(callers, forwarder.NewEntry(d, ...))
//	http.Serve(peers, forwarder.NewRelay(...))
//	http.Serve(local, forwarder.NewEgress(d, ...))
package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"quetzalhub/balancer"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
	"quetzalhub/util/set"
)

// State gives the present configuration and tells whether it may be used.
type State interface {
	Snapshot() *resolver.Snapshot
	Fresh() bool
}

// Admitter holds workspaces to their rates.
type Admitter interface {
	// Admit waits for at most the patience until a request of a workspace is
	// within its rate. An error is a *refuser.Error.
	Admit(ctx context.Context, workspace string, patience time.Duration) error
}

// Restorer is an Admitter that takes tokens back. Where tokens belong to loans
// that may have ended meanwhile, they are not given back.
type Restorer interface {
	// Restore tells that a request of a workspace was admitted and not sent.
	Restore(workspace string)
}

// Picker chooses the node for a call.
type Picker interface {
	Pick(service string, tried set.Set[string]) (*balancer.Target, bool)
}

// Gate protects the upstream beside this node.
type Gate interface {
	Acquire(ctx context.Context, r guard.Request) (*guard.Permit, error)
	Level() uint32
}

// Throttler bounds the extra attempts of this node.
type Throttler interface {
	// Earn counts a request of a route for a service; nested is true for calls
	// made for another request.
	Earn(service, route string, nested bool)
	// Take uses an extra attempt and tells whether there was one.
	Take(service, route string) bool
}

// Identity names this start of this node.
type Identity interface {
	Identity() (name string, incarnation uint64)
}

// Call is a request on its way to a service.
type Call struct {
	Parent *tracker.Request
	Route  *resolver.Route
	// Service is the one chosen among those of the route.
	Service string
	// Origin is the service beside the node at which the request began.
	Origin string
	// Nested is true for calls made for another request.
	Nested bool
	Method string
	// Host is the header for the upstream; empty if its address will do.
	Host string
	// URL holds the path and query.
	URL    *url.URL
	Header http.Header
	Body   []byte
	// Retries is false if the call may not be tried again.
	Retries bool
}

// Answer is what came back. The caller closes the body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64
	Report *schema.Report
	// By is the node beside the upstream.
	By string
}

// bufferSize is the size of the buffers through which bodies are copied.
const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// writeAnswer sends an answer on. An answer that was cut short cuts the
// connection, so that it never looks whole.
func writeAnswer(w http.ResponseWriter, a *Answer) {
	defer a.Body.Close()
	copyAnswer(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	copyBody(w, a.Body, a.Length < 0)
}

// copyBody copies a body, flushing each piece if its length is not known.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, failed := w.Write((*buffer)[:n]); failed != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if flush {
			_ = controller.Flush()
		}
	}
}

// refusalOf returns the code and detail of an error from a decision.
func refusalOf(err error) (refuser.Code, refuser.Detail) {
	refusal, ok := err.(*refuser.Error)
	if !ok {
		return refuser.ConnectionLost, refuser.Detail{}
	}
	return refusal.Code, refusal.Detail
}

// timeLeft returns the time until a deadline, never negative.
func timeLeft(deadline time.Time) time.Duration {
	return max(time.Until(deadline), 0)
}
