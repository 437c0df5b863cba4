package forwarder

import (
	"net/http"
	"slices"

	"quetzalhub/schema"
)

// setReport sets the report on a response to another node, given the header of the response of
// the upstream, if any. A compact one leaves out what the sender of the call knows or sets itself,
// and what net/http would add.
func (r *Relay) setReport(to, from http.Header, rc *relayCall, report *schema.Report) {
	if !rc.compact {
		to.Set(headerReport, encodeHeader(report))
		return
	}
	shortenEndpoint(report.GetEndpoint())
	to[headerReport] = []string{encodeCompact(report)}
	known := http.Header{}
	r.options.Dialect.SetResponseHeaders(known, rc.requestID())
	for name, values := range known {
		delete(to, name)
		if slices.Equal(from[name], values) {
			delete(from, name)
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		// Those of the upstream, if any, take the place of nil.
		to[name] = nil
	}
}

// shortenEndpoint leaves out what identifies an upstream except for its start time, unless the
// sender of the call must remember something about it.
func shortenEndpoint(e *schema.Endpoint) {
	if e == nil || e.GetPhase() != schema.Phase_PHASE_READY || e.GetRate() > 0 {
		return
	}
	e.Service = ""
	e.Instance = &schema.Instance{Born: e.GetInstance().GetBorn()}
}

// restoreEndpoint adds to an upstream of a service what the record of its node tells about it.
func restoreEndpoint(e *schema.Endpoint, service string, m *schema.Member) {
	if e == nil || e.GetService() != "" {
		return
	}
	e.Service = service
	born := e.GetInstance().GetBorn()
	e.Instance = nil
	for _, known := range m.GetEndpoints() {
		if known.GetInstance().GetBorn() == born {
			e.Instance = known.GetInstance()
		}
	}
}

// headWriter leaves out the body of a refusal, which other nodes don't read: the report has the
// code.
type headWriter struct{ http.ResponseWriter }

// WriteHeader writes the head.
func (w headWriter) WriteHeader(status int) {
	h := w.Header()
	delete(h, "Cache-Control")
	h["Content-Type"] = nil
	w.ResponseWriter.WriteHeader(status)
}

// Write discards the body.
func (w headWriter) Write(body []byte) (int, error) { return len(body), nil }
