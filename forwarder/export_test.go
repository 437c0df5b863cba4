package forwarder

import (
	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
)

// EncodeCompact and DecodeHeader encode and decode headers between nodes.
func EncodeCompact(m proto.Message) string           { return encodeCompact(m) }
func DecodeHeader(text string, m proto.Message) bool { return decodeHeader(text, m) }

// ShortenEndpoint and RestoreEndpoint shorten and restore an upstream in a report.
func ShortenEndpoint(e *schema.Endpoint) { shortenEndpoint(e) }

func RestoreEndpoint(e *schema.Endpoint, service string, m *schema.Member) {
	restoreEndpoint(e, service, m)
}

// AnswerContext returns the context for the answer to a request.
var AnswerContext = answerContext
