package refuser

import (
	"net/http"

	"quetzalhub/schema"
)

// Code is a result code: the reason why no upstream answered a request. Codes are
// part of the public interface and never change their meaning.
type Code uint32

// Codes of refusals by the node that received the request from its caller.
const (
	None          Code = 0
	KeyMissing    Code = 1001
	KeyUnknown    Code = 1002
	KeyWithdrawn  Code = 1003
	RouteUnknown  Code = 1004
	RateExceeded  Code = 1005
	StateStale    Code = 1006
	ShedAtEntry   Code = 1007
	BodyTooLarge  Code = 1008
	BadRequest    Code = 1009
	StateMissing  Code = 1010
	KeyReused     Code = 1011
	ResendPending Code = 1012
	CallsRejected Code = 1013
	// RequestHeld and RequestQuarantined refuse a request that seems to crash upstreams,
	// for a short and for a long time.
	RequestHeld        Code = 1014
	RequestQuarantined Code = 1015
	// MemoryFull refuses a request whose body does not fit beside those of others.
	MemoryFull Code = 1016
	BodyLate   Code = 1017
	// RegionMissing refuses a request that may run only in regions without an upstream of
	// its service.
	RegionMissing Code = 1018
	// ServiceCold refuses a request that would reach more cold upstreams than bear it.
	ServiceCold Code = 1019
	// OriginUnknown refuses a request while the node doesn't know which service runs on its
	// host.
	OriginUnknown Code = 1020
)

// Codes of refusals between nodes.
const (
	EndpointMissing    Code = 2001
	ShedAtGuard        Code = 2002
	DeadlineBeforeRun  Code = 2003
	Draining           Code = 2004
	IncarnationChanged Code = 2005
	AttemptFenced      Code = 2006
	PeerUnreachable    Code = 2007
	UpstreamRefused    Code = 2008
	UpstreamShed       Code = 2009
	UpstreamReplaced   Code = 2010
	PeerMemoryFull     Code = 2011
	DomainEvacuated    Code = 2012
	UpstreamCold       Code = 2013
)

// Codes of failures after which the request may have run.
const (
	ConnectionLost  Code = 3001
	DeadlinePassed  Code = 3002
	UpstreamLost    Code = 3003
	CallerGone      Code = 3004
	ResendUnknown   Code = 3005
	ReceiverUnclear Code = 3006
	UpstreamCrashed Code = 3007
	// BodyCut means that the body ended early, or grew too large, after a part was passed on.
	BodyCut Code = 3008
)

// Codes of refused nested calls, which upstreams make while they serve a request.
const (
	TicketMissing Code = 4001
	TicketUnknown Code = 4002
)

// CodeInfo describes a code.
type CodeInfo struct {
	// Name is the name of the counter.
	Name string
	// Title is the sentence shown to callers.
	Title string
	// Status is the HTTP status sent with the code.
	Status int
	// Outcome states whether the request ran.
	Outcome schema.Outcome
}

const (
	notRun  = schema.Outcome_OUTCOME_NOT_RUN
	unknown = schema.Outcome_OUTCOME_UNKNOWN
)

var codeInfos = map[Code]CodeInfo{
	KeyMissing:    {"key_missing", "The request carries no key.", http.StatusUnauthorized, notRun},
	KeyUnknown:    {"key_unknown", "The key belongs to no workspace.", http.StatusUnauthorized, notRun},
	KeyWithdrawn:  {"key_withdrawn", "The key was withdrawn.", http.StatusUnauthorized, notRun},
	RouteUnknown:  {"route_unknown", "No route matches the request.", http.StatusNotFound, notRun},
	RateExceeded:  {"rate_exceeded", "The workspace has used its rate and burst.", http.StatusTooManyRequests, notRun},
	StateStale:    {"state_stale", "The node is cut off and cannot confirm its configuration.", http.StatusServiceUnavailable, notRun},
	ShedAtEntry:   {"shed_at_entry", "The service is overloaded; the request was shed before it began.", http.StatusServiceUnavailable, notRun},
	BodyTooLarge:  {"body_too_large", "The request body is too large.", http.StatusRequestEntityTooLarge, notRun},
	BadRequest:    {"bad_request", "The request is malformed.", http.StatusBadRequest, notRun},
	StateMissing:  {"state_missing", "The node has no configuration yet.", http.StatusServiceUnavailable, notRun},
	KeyReused:     {"idempotency_key_reused", "The idempotency key was used with another request.", http.StatusUnprocessableEntity, notRun},
	ResendPending: {"resend_pending", "The first request with this idempotency key is still running.", http.StatusConflict, unknown},
	CallsRejected: {"calls_rejected", "An upstream that the request needs rejects most calls; the request was refused before it began.", http.StatusServiceUnavailable, notRun},

	RequestHeld:        {"request_held", "Upstreams crashed while they ran this request; it is tried again later.", http.StatusServiceUnavailable, notRun},
	RequestQuarantined: {"request_quarantined", "Upstreams crashed each time that they ran this request; it is not run again.", http.StatusUnprocessableEntity, notRun},

	MemoryFull: {"memory_full", "The node has no room for the body of the request.", http.StatusServiceUnavailable, notRun},
	BodyLate:   {"body_late", "The body did not arrive before the deadline.", http.StatusRequestTimeout, notRun},

	RegionMissing: {"region_missing", "No upstream of the service is in a region where the request may run.", http.StatusServiceUnavailable, notRun},
	ServiceCold:   {"service_cold", "Upstreams that the request needs are cold and bear no more; it was refused before it began.", http.StatusServiceUnavailable, notRun},

	OriginUnknown: {"origin_unknown", "The service on the host of the node is not known, since its upstream was replaced.", http.StatusServiceUnavailable, notRun},

	EndpointMissing:    {"endpoint_missing", "No upstream of the service is announced.", http.StatusServiceUnavailable, notRun},
	ShedAtGuard:        {"shed_at_guard", "The upstream is overloaded; the request did not begin.", http.StatusServiceUnavailable, notRun},
	DeadlineBeforeRun:  {"deadline_before_run", "The deadline passed before the request began.", http.StatusGatewayTimeout, notRun},
	Draining:           {"draining", "The upstream is leaving.", http.StatusServiceUnavailable, notRun},
	IncarnationChanged: {"incarnation_changed", "The attempt was meant for an earlier start of the node.", http.StatusServiceUnavailable, notRun},
	AttemptFenced:      {"attempt_fenced", "The attempt was given up before it began.", http.StatusServiceUnavailable, notRun},
	PeerUnreachable:    {"peer_unreachable", "No node of the service could be reached.", http.StatusServiceUnavailable, notRun},
	UpstreamShed:       {"upstream_shed", "The upstream turned the request away.", http.StatusServiceUnavailable, notRun},
	UpstreamReplaced:   {"upstream_replaced", "Another upstream has the address.", http.StatusServiceUnavailable, notRun},
	UpstreamRefused:    {"upstream_refused", "The upstream accepted no connection.", http.StatusServiceUnavailable, notRun},
	PeerMemoryFull:     {"peer_memory_full", "The node beside the upstream has no room for the body of the request.", http.StatusServiceUnavailable, notRun},
	DomainEvacuated:    {"domain_evacuated", "The failure domain of the upstream is evacuated.", http.StatusServiceUnavailable, notRun},
	UpstreamCold:       {"upstream_cold", "The upstream is cold and bears no more requests.", http.StatusServiceUnavailable, notRun},

	ConnectionLost:  {"connection_lost", "The connection was lost after the request was sent.", http.StatusBadGateway, unknown},
	DeadlinePassed:  {"deadline_passed", "The deadline passed while the request was running.", http.StatusGatewayTimeout, unknown},
	UpstreamLost:    {"upstream_lost", "The upstream closed its connection without a whole answer.", http.StatusBadGateway, unknown},
	CallerGone:      {"caller_gone", "The caller gave up while the request was running.", 499, unknown},
	ResendUnknown:   {"resend_unknown", "The node cannot tell what became of the first request with this idempotency key.", http.StatusBadGateway, unknown},
	ReceiverUnclear: {"receiver_unclear", "The node beside the upstream cannot tell whether the request ran.", http.StatusBadGateway, unknown},
	UpstreamCrashed: {"upstream_crashed", "The upstream crashed while it ran the request.", http.StatusBadGateway, unknown},
	BodyCut:         {"body_cut", "The request body was cut off, or grew too large, while it was passed on.", http.StatusBadRequest, unknown},

	TicketMissing: {"ticket_missing", "The call names no active request.", http.StatusBadRequest, notRun},
	TicketUnknown: {"ticket_unknown", "The named request is no longer active.", http.StatusConflict, notRun},
}

// Info returns the description of the code.
func (c Code) Info() CodeInfo {
	m, ok := codeInfos[c]
	if !ok {
		return CodeInfo{"unlisted", "The request failed.", http.StatusBadGateway, unknown}
	}
	return m
}

// Codes returns the descriptions of all codes.
func Codes() map[Code]CodeInfo {
	all := make(map[Code]CodeInfo, len(codeInfos))
	for c, m := range codeInfos {
		all[c] = m
	}
	return all
}
