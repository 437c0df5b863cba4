package forwarder

import (
	"encoding/base64"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"google.golang.org/protobuf/proto"

	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// Headers of the system. Callers may not send headers with this prefix.
const (
	headerPrefix = "Quetzal-"
	headerReport = "Quetzal-Report"
	headerMethod = "Quetzal-Method"
	// HeaderEnvelope marks calls between nodes.
	HeaderEnvelope = "Quetzal-Envelope"
	// HeaderRequest names the whole request in every answer, and towards
	// upstreams.
	HeaderRequest = "Quetzal-Request"
	// HeaderTicket names the active request towards upstreams and in their calls.
	HeaderTicket = "Quetzal-Ticket"
	// HeaderWorkspace names the workspace towards upstreams.
	HeaderWorkspace = "Quetzal-Workspace"
	// HeaderDeadline is the time left towards upstreams, in milliseconds.
	HeaderDeadline = "Quetzal-Deadline"
	// HeaderCode is the result code of an answer that is a refusal.
	HeaderCode = "Quetzal-Code"
)

// hopHeader tells whether a header applies to a single connection and is never
// passed on.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// ownHeader tells whether a header belongs to the system.
func isInternalHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// secretOf returns the secret that a caller presents, or none.
func bearerToken(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "More than one Authorization header."}}
	}
	scheme, secret, ok := strings.Cut(values[0], " ")
	secret = strings.TrimSpace(secret)
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return "", &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "Authorization must be Bearer with a key."}}
	}
	return secret, nil
}

// leaks tells whether the secret stands anywhere in the request besides the
// Authorization header.
func secretElsewhere(r *http.Request, secret string) bool {
	if secret == "" {
		return false
	}
	if containsSecret(r.URL.Path, secret) || containsSecret(r.URL.RawQuery, secret) {
		return true
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if strings.Contains(strings.ToLower(name), strings.ToLower(secret)) {
			return true
		}
		for _, v := range values {
			if containsSecret(v, secret) {
				return true
			}
		}
	}
	return false
}

func containsSecret(text, secret string) bool {
	if strings.Contains(text, secret) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	unescaped, err := url.QueryUnescape(text)
	return err != nil || strings.Contains(unescaped, secret)
}

// cleanHeader returns the headers of a request that are passed on.
func forwardedHeader(h http.Header, d Dialect) http.Header {
	forwarded := make(http.Header, len(h)+8)
	for name, values := range h {
		if !isHopByHop(name) && d.ForwardsHeader(name) {
			forwarded[name] = values
		}
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(forwarded, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	if _, ok := forwarded["User-Agent"]; !ok {
		// ForwardsHeader net/http from adding one of its own.
		forwarded["User-Agent"] = []string{""}
	}
	return forwarded
}

// copyAnswer copies the headers of an answer that are passed on.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !isHopByHop(name) && !isInternalHeader(name) {
			to[name] = values
		}
	}
}

func encodeHeader(m proto.Message) string {
	data, err := proto.Marshal(m)
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decodeHeader(text string, m proto.Message) bool {
	data, err := base64.RawStdEncoding.DecodeString(text)
	return err == nil && proto.Unmarshal(data, m) == nil
}

func decodeReport(h http.Header) *schema.Report {
	report := &schema.Report{}
	if text := h.Get(headerReport); text == "" || !decodeHeader(text, report) {
		return nil
	}
	return report
}
