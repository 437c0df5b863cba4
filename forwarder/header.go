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

// Headers set by the nodes. Headers of callers with this prefix are not
// forwarded.
const (
	headerPrefix = "Quetzal-"
	headerReport = "Quetzal-Report"
	headerMethod = "Quetzal-Method"
	// HeaderEnvelope carries the metadata of a call between nodes.
	HeaderEnvelope = "Quetzal-Envelope"
	// HeaderRequest identifies the request in every response and in requests
	// to upstreams.
	HeaderRequest = "Quetzal-Request"
	// HeaderTicket identifies the active request in requests to upstreams and
	// in the calls they make.
	HeaderTicket = "Quetzal-Ticket"
	// HeaderWorkspace is the workspace in requests to upstreams.
	HeaderWorkspace = "Quetzal-Workspace"
	// HeaderDeadline is the remaining time in milliseconds in requests to
	// upstreams.
	HeaderDeadline = "Quetzal-Deadline"
	// HeaderCode is the result code in a refusal.
	HeaderCode = "Quetzal-Code"
)

// isHopByHop reports whether a header applies to a single connection and is
// never forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// isInternalHeader reports whether a header has the prefix of the nodes' headers.
func isInternalHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// bearerToken returns the API key in the Authorization header, or an empty
// string if there is no such header.
func bearerToken(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The request has more than one Authorization header."}}
	}
	scheme, secret, ok := strings.Cut(values[0], " ")
	secret = strings.TrimSpace(secret)
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return "", &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The Authorization header must have the form: Bearer KEY."}}
	}
	return secret, nil
}

// secretElsewhere reports whether the path, the query or a header other than
// Authorization contains the secret.
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

// containsSecret reports whether a text contains the secret as it is or
// percent-encoded. Text with an invalid encoding counts as containing it.
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

// forwardedHeader returns the headers of a request that are forwarded.
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
		// An empty value keeps net/http from adding its default User-Agent.
		forwarded["User-Agent"] = []string{""}
	}
	return forwarded
}

// copyResponseHeader copies the headers of a response that are forwarded.
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
	if isCompact(text) {
		return decodeCompact(text, m)
	}
	data, err := base64.RawStdEncoding.DecodeString(text)
	return err == nil && proto.Unmarshal(data, m) == nil
}

// Compact headers hold a message as bytes that a header may contain, in place of base64. They
// begin with compactMark, which is also the escape character.
const (
	compactMark = '='
	// compactShift moves the small bytes, which are frequent in messages, out of the range of
	// control characters.
	compactShift  = 42
	compactEscape = 64
)

// isCompact reports whether a header is compact.
func isCompact(text string) bool { return strings.HasPrefix(text, string(compactMark)) }

// encodeCompact encodes a message as a compact header.
func encodeCompact(m proto.Message) string {
	data, err := proto.Marshal(m)
	if err != nil {
		return ""
	}
	text := make([]byte, 1, len(data)+len(data)/8+1)
	text[0] = compactMark
	for _, b := range data {
		if b += compactShift; b <= ' ' || b == 0x7f || b == compactMark {
			text = append(text, compactMark)
			b += compactEscape
		}
		text = append(text, b)
	}
	return string(text)
}

// decodeCompact decodes a compact header.
func decodeCompact(text string, m proto.Message) bool {
	data := make([]byte, 0, len(text))
	for i := 1; i < len(text); i++ {
		b := text[i]
		if b == compactMark {
			if i++; i == len(text) {
				return false
			}
			b = text[i] - compactEscape
		}
		data = append(data, b-compactShift)
	}
	return proto.Unmarshal(data, m) == nil
}

func decodeReport(h http.Header) *schema.Report {
	report := &schema.Report{}
	if text := h.Get(headerReport); text == "" || !decodeHeader(text, report) {
		return nil
	}
	return report
}
