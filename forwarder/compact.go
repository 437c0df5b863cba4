package forwarder

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// maxProblemBytes is the largest size of a refusal that is read.
const maxProblemBytes = 4 << 10

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

// envelopeUnread reports whether a node has refused a call since it could not read the envelope. A
// node of an earlier release may have started at the address.
func envelopeUnread(resp *http.Response) bool {
	if resp.StatusCode != http.StatusBadRequest || resp.Header.Get("Content-Type") != refuser.ContentType {
		return false
	}
	problem := refuser.Problem{}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&problem)
	return err == nil && problem.Code == refuser.BadRequest
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
