package forwarder

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"quetzalhub/refuser"
	"quetzalhub/tracker"
)

// RequestInfo is what a caller says about its request.
type RequestInfo struct {
	// ID names the request in logs and answers.
	ID string
	// Secret is the key presented; empty if there is none.
	Secret string
	// Host selects the routes; empty selects those for any host.
	Host string
	// Path selects the route.
	Path string
	// Timeout is the time for which the caller waits; zero if it does not say.
	Timeout time.Duration
	// Nested is true if the request may be a call of the upstream beside this
	// node, made for a request that runs there.
	Nested bool
	// parent is the request for which a nested one was made, if it was found.
	parentID string
}

// ResponseKind tells what an answer of an upstream means.
type ResponseKind int

// Verdicts on answers of upstreams.
const (
	// ResponseValid answers are passed on as they are.
	ResponseValid ResponseKind = iota
	// ResponseMismatched answers belong to another request; the right one may follow.
	ResponseMismatched
	// ResponseMalformed answers can't be passed on; the request may have run.
	ResponseMalformed
	// ResponseShed means that the upstream did not run the request.
	ResponseShed
	// ResponseUpstreamReplaced means that another upstream has the address. It did not run
	// the request.
	ResponseUpstreamReplaced
)

// Dialect is how callers and upstreams speak to the node.
type Dialect interface {
	// ParseRequest reads what a caller says about its request. An error is a
	// *refuser.Error.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// ForwardsHeader tells whether a header of a request is passed on.
	ForwardsHeader(name string) bool
	// SetRequestHeaders adds what the system tells an upstream about a request.
	SetRequestHeaders(h http.Header, d UpstreamMetadata)
	// ClassifyResponse tells what an answer of an upstream to a request means.
	ClassifyResponse(resp *http.Response, id string) ResponseKind
	// SetResponseHeaders adds what the system tells a caller in every answer.
	SetResponseHeaders(h http.Header, id string)
}

// UpstreamMetadata is what an upstream is told about a request.
type UpstreamMetadata struct {
	Request *tracker.Request
	// Ticket names the active request in calls made for it.
	Ticket string
	// Upstream is the identifier of the upstream meant; it may be empty.
	Upstream string
	// Origin is the service beside the node at which the request began.
	Origin string
}

// Native is the project's own dialect.
type Native struct{}

// ParseRequest reads the key from the Authorization header.
func (Native) ParseRequest(r *http.Request) (RequestInfo, error) {
	info := RequestInfo{ID: rand.Text(), Path: r.URL.Path}
	secret, err := bearerToken(r)
	if err != nil {
		return info, err
	}
	if secretElsewhere(r, secret) {
		note := "The key may stand in the Authorization header only."
		return info, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: note}}
	}
	info.Secret = secret
	return info, nil
}

// ForwardsHeader refuses keys and the system's own headers.
func (Native) ForwardsHeader(name string) bool {
	return name != "Authorization" && !isInternalHeader(name)
}

// SetRequestHeaders names request, ticket, deadline and workspace.
func (Native) SetRequestHeaders(h http.Header, d UpstreamMetadata) {
	h[HeaderRequest] = []string{d.Request.ID}
	h[HeaderTicket] = []string{d.Ticket}
	h[HeaderDeadline] = []string{strconv.FormatInt(timeLeft(d.Request.Deadline).Milliseconds(), 10)}
	if d.Request.Workspace != "" {
		h[HeaderWorkspace] = []string{d.Request.Workspace}
	}
}

// ClassifyResponse takes every answer as it is.
func (Native) ClassifyResponse(*http.Response, string) ResponseKind { return ResponseValid }

// SetResponseHeaders names the request.
func (Native) SetResponseHeaders(h http.Header, id string) { h[HeaderRequest] = []string{id} }
