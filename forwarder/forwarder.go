// Package forwarder forwards requests from callers to upstreams and returns
// the responses, or a refusal that states whether the request has run.
//
// Entry receives a request from a caller at any node, finds its workspace and
// route, and applies admission control. Dispatcher picks a node beside an
// upstream of the service and sends the call there. It retries at another node
// if the call did not run or is idempotent. Relay receives the call at that
// node, waits for a slot of the concurrency limiter and sends it to the
// upstream. Calls made by an upstream arrive at the Egress of the node beside
// it and are dispatched as part of the same request.
//
// # Usage
//
//	d := forwarder.NewDispatcher(forwarder.DispatcherOptions{...})
//	http.Serve(callers, forwarder.NewEntry(forwarder.EntryOptions{Dispatcher: d, ...}))
//	http.Serve(peers, forwarder.NewRelay(forwarder.RelayOptions{...}))
//	http.Serve(local, forwarder.NewEgress(forwarder.EgressOptions{Dispatcher: d, ...}))
package forwarder

import (
	"context"
	"io"
	"net"
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

// State provides the current configuration and reports whether it is recent
// enough to be used.
type State interface {
	Snapshot() *resolver.Snapshot
	Fresh() bool
}

// Admitter enforces the rate limits of workspaces.
type Admitter interface {
	// Admit waits up to maxWait until a request of a workspace is within the
	// workspace's rate. Any error is a *refuser.Error.
	Admit(ctx context.Context, workspace string, maxWait time.Duration) error
}

// Restorer is an Admitter that accepts returned tokens. An Admitter whose tokens
// belong to loans does not implement it, since a loan may have ended meanwhile.
type Restorer interface {
	// Restore returns the token of a request that was admitted but not sent.
	Restore(workspace string)
}

// Picker selects the node for a call in a region where it may run, leaving out the nodes
// already tried.
type Picker interface {
	// PickInTime selects a node at which the call probably ends in time.
	PickInTime(service string, need balancer.Need, tried set.Set[string]) (*balancer.Target, bool)
	// PickHashed selects the same node for the same key as long as it is available.
	PickHashed(service string, need balancer.Need, key uint64, tried set.Set[string]) (*balancer.Target, bool)
	// Covers reports whether any node of the service is in such a region.
	Covers(service string, need balancer.Need) bool
}

// ConcurrencyLimiter limits the concurrent calls to the local upstream.
type ConcurrencyLimiter interface {
	Acquire(ctx context.Context, r guard.Request) (*guard.Permit, error)
	Level() uint32
}

// RetryThrottler limits the retries sent by this node.
type RetryThrottler interface {
	// RecordRequest counts a request of a route for a service. nested is true
	// for calls made on behalf of another request.
	RecordRequest(service, route string, nested bool)
	// AllowRetry consumes one retry and reports whether one was available.
	AllowRetry(ctx context.Context, service, route string) bool
}

// Identity returns the name of this node and its incarnation, which differs after
// each restart.
type Identity interface {
	Identity() (name string, incarnation uint64)
}

// Call is a request that is to be sent to an upstream of a service.
type Call struct {
	Parent *tracker.Request
	Route  *resolver.Route
	// Service is the service selected from those of the route.
	Service string
	// Origin is the local service of the node that first received the request.
	Origin string
	// Nested is true for calls made on behalf of another request.
	Nested bool
	Method string
	// Host is the Host header for the upstream. If it is empty, the address of
	// the upstream is used.
	Host string
	// URL holds the path and query.
	URL    *url.URL
	Header http.Header
	Body   Body
	// Retryable is false if the call must not be retried.
	Retryable bool
	// bounds are the regions in which the call may run.
	bounds regionBounds
	// answerDeadline is the time until which an answer that has begun is passed on, which is
	// that by which the caller expects it. It may be zero.
	answerDeadline time.Time
	// offered is the number of upstreams that may have seen the call.
	offered uint32
	// series is the number of calls of this kind that the request which makes them has
	// still to make in turn, including this one. It is zero for requests of callers.
	series int
	// seriesDeadline is the time by which they must all end.
	seriesDeadline time.Time
}

// need returns the time that the call has and takes at the upstreams of its service.
func (c *Call) need(slotTime time.Duration) balancer.Need {
	left := time.Until(c.Parent.Deadline)
	if c.series > 1 {
		if all := time.Until(c.seriesDeadline); all < left*time.Duration(c.series) {
			return balancer.Need{Left: all, Expected: slotTime * time.Duration(c.series), Calls: c.series}
		}
	}
	if objective := c.Route.TargetLatency; c.series == 0 && objective > 0 {
		left = min(left, objective)
	}
	return balancer.Need{Left: left, Expected: slotTime}
}

// fits reports whether the time left suffices for the call, given the mean time that it
// takes.
func (c *Call) fits(slotTime time.Duration) bool {
	need := c.need(slotTime)
	return need.Left > need.Expected
}

// mayOffer reports whether the route allows the call at one more upstream. Nested calls
// draw on the retry budget of the request that made them, whose route may allow more.
func (c *Call) mayOffer() bool { return c.Route.Attempts == 0 || c.offered < c.Route.Attempts }

// Response is the response of an upstream. The receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64
	Report *schema.Report
	// Node is the name of the node beside the upstream.
	Node string
}

// bufferSize is the size in bytes of the pooled buffers for copying bodies.
const bufferSize = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// writeResponse writes a response to the caller of a request. If the body is truncated, the
// connection is aborted so that the caller cannot take it for complete. Before that, onCut, if
// not nil, receives the cause.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *Response, onCut func(error)) {
	defer resp.Body.Close()
	copyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.Status)
	if err := copyBody(w, resp.Body, resp.Length < 0); err != nil {
		if onCut != nil {
			onCut(err)
		}
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// wrapper is a connection on top of another one, such as one with TLS.
type wrapper interface{ NetConn() net.Conn }

// resetConnection discards the connection of a caller to which the end of a connection is that of
// a body.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// Closing a TLS connection would state that the body has ended.
	for c, ok := conn.(wrapper); ok; c, ok = conn.(wrapper) {
		conn = c.NetConn()
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// copyBody copies a body. If flush is true, it flushes after each read.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if flush {
			_ = controller.Flush()
		}
	}
}

// refusalOf returns the code and detail of a refusal. Any other error counts as
// a lost connection.
func refusalOf(err error) (refuser.Code, refuser.Detail) {
	refusal, ok := err.(*refuser.Error)
	if !ok {
		return refuser.ConnectionLost, refuser.Detail{}
	}
	return refusal.Code, refusal.Detail
}

// timeLeft returns the time until a deadline, or 0 if it has passed.
func timeLeft(deadline time.Time) time.Duration {
	return max(time.Until(deadline), 0)
}
