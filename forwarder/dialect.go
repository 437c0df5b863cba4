package forwarder

import (
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzalhub/refuser"
	"quetzalhub/tracker"
)

// RequestInfo holds what a caller states in a request.
type RequestInfo struct {
	// ID identifies the request in logs and responses.
	ID string
	// Secret is the API key of the request, or empty if there is none.
	Secret string
	// Host selects the routes. An empty host selects the routes for any host.
	Host string
	// Path selects the route.
	Path string
	// Timeout is the time for which the caller waits, or 0 if not stated.
	Timeout time.Duration
	// Nested is true if the request may be a call made by the local upstream on
	// behalf of a request that runs there.
	Nested bool
	// parentID identifies the request that made this nested one, if it was found.
	parentID string
	// received is the time from which the timeout counts.
	received time.Time
}

// ResponseKind classifies the response of an upstream.
type ResponseKind int

// Kinds of responses of upstreams.
const (
	// ResponseValid is a response that is returned to the caller unchanged.
	ResponseValid ResponseKind = iota
	// ResponseMismatched belongs to another request. The right one may follow.
	ResponseMismatched
	// ResponseMalformed cannot be returned to the caller. The request may have
	// run.
	ResponseMalformed
	// ResponseShed means that the upstream did not run the request.
	ResponseShed
	// ResponseUpstreamReplaced means that another upstream now has the address.
	// It did not run the request.
	ResponseUpstreamReplaced
)

// Dialect defines how the headers of callers and upstreams are read and written.
type Dialect interface {
	// ParseRequest reads what a caller states in a request. Any error is a
	// *refuser.Error.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// RoutePath returns the path that selects the route of a request.
	RoutePath(u *url.URL) string
	// ForwardsHeader reports whether a request header is forwarded.
	ForwardsHeader(name string) bool
	// SetRequestHeaders adds the headers that describe a request to the upstream.
	SetRequestHeaders(h http.Header, m UpstreamMetadata)
	// ClassifyResponse classifies the response of an upstream to a request.
	ClassifyResponse(resp *http.Response, id string) ResponseKind
	// ParseUpstreamStatus reads what an upstream states about itself in a response.
	ParseUpstreamStatus(h http.Header) UpstreamStatus
	// SetResponseHeaders adds the headers that every response to a caller has.
	SetResponseHeaders(h http.Header, id string)
}

// UpstreamStatus is what an upstream states about itself in its responses.
type UpstreamStatus struct {
	// RateLimit is the number of requests per second that the upstream accepts from
	// all nodes together, or zero if it states no limit.
	RateLimit float64
	// Leaving is true if the upstream is about to stop.
	Leaving bool
	// Sent is the time at which the request was sent that it answered, or zero if unknown.
	Sent time.Time
}

// UpstreamMetadata holds what is sent to an upstream about a request.
type UpstreamMetadata struct {
	Request *tracker.Request
	// Ticket identifies the active request in calls made on its behalf.
	Ticket string
	// Upstream is the identifier of the intended upstream. It may be empty.
	Upstream string
	// Origin is the local service of the node that first received the request.
	Origin string
}

// Native is the dialect with the Quetzal headers of this project.
type Native struct{}

// ParseRequest reads the API key from the Authorization header. It rejects
// requests that contain the key anywhere else, so that it is not forwarded.
func (d Native) ParseRequest(r *http.Request) (RequestInfo, error) {
	info := RequestInfo{ID: rand.Text(), Path: d.RoutePath(r.URL)}
	secret, err := bearerToken(r)
	if err != nil {
		return info, err
	}
	if secretElsewhere(r, secret) {
		note := "The API key is only allowed in the Authorization header."
		return info, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: note}}
	}
	info.Secret = secret
	return info, nil
}

// RoutePath returns the decoded path.
func (Native) RoutePath(u *url.URL) string { return u.Path }

// ForwardsHeader excludes the Authorization header and the Quetzal headers.
func (Native) ForwardsHeader(name string) bool {
	return name != "Authorization" && !isInternalHeader(name)
}

// SetRequestHeaders sets the request, ticket, deadline and workspace headers.
func (Native) SetRequestHeaders(h http.Header, m UpstreamMetadata) {
	h[HeaderRequest] = []string{m.Request.ID}
	h[HeaderTicket] = []string{m.Ticket}
	h[HeaderDeadline] = []string{strconv.FormatInt(timeLeft(m.Request.Deadline).Milliseconds(), 10)}
	if m.Request.Workspace != "" {
		h[HeaderWorkspace] = []string{m.Request.Workspace}
	}
}

// ClassifyResponse accepts every response as valid, except for those with the ID of
// another request. Upstreams need not state it.
func (Native) ClassifyResponse(resp *http.Response, id string) ResponseKind {
	if stated := resp.Header.Get(HeaderRequest); stated != "" && stated != id {
		return ResponseMismatched
	}
	return ResponseValid
}

// MatchesRequest returns false if a response carries the ticket or the ID of another
// request. The ticket also tells apart the calls on behalf of one request.
func (Native) MatchesRequest(req *http.Request, resp *http.Response) bool {
	for _, name := range []string{HeaderTicket, HeaderRequest} {
		if stated := resp.Header.Get(name); stated != "" && stated != req.Header.Get(name) {
			return false
		}
	}
	return true
}

// ParseUpstreamStatus returns the zero status: upstreams announce theirs to the node
// on their host.
func (Native) ParseUpstreamStatus(http.Header) UpstreamStatus { return UpstreamStatus{} }

// SetResponseHeaders sets the request header.
func (Native) SetResponseHeaders(h http.Header, id string) { h[HeaderRequest] = []string{id} }
