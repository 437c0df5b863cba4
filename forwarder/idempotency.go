package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/deduplicator"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// headerKey is the header with the idempotency key of a request.
const headerKey = "Idempotency-Key"

// maxStatus is the highest status of a response.
const maxStatus = 599

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// IdempotencyStore records idempotency keys and the responses to their requests
// at the nodes that own the keys.
type IdempotencyStore interface {
	// Claim registers the use of a key at its owner.
	Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error)
	// Settle reports the outcome of the request to the owner of its key. An owner outside the
	// regions in which the request may run does not get the answer.
	Settle(ctx context.Context, req *schema.SettleRequest, within resolver.Regions) error
}

// dispatchWithKey dispatches a request with an idempotency key. However often
// the caller sends the request, it runs at most once.
func (e *Entry) dispatchWithKey(ctx context.Context, call *Call, key string) (*entryResponse, error) {
	if len(key) > maxKeyBytes {
		return nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The idempotency key is longer than 256 bytes."}}
	}
	claim := &schema.ClaimRequest{
		Workspace: call.Parent.Workspace,
		Key:       key,
		Digest:    requestDigest(call),
		Left:      durationpb.New(timeLeft(call.Parent.Deadline)),
	}
	resp, err := e.IdempotencyStore.Claim(ctx, claim)
	if err != nil {
		return nil, &refuser.Error{Code: refuser.ResendUnknown}
	}
	switch resp.GetStanding() {
	case schema.Standing_STANDING_GRANTED:
		return e.dispatchAndSettle(ctx, call, key)
	case schema.Standing_STANDING_ANSWERED:
		if status := resp.GetAnswer().GetStatus(); status < http.StatusOK || status > maxStatus {
			return nil, &refuser.Error{Code: refuser.ResendUnknown}
		}
		return &entryResponse{fromStored(resp.GetAnswer()), func() {}}, nil
	case schema.Standing_STANDING_PENDING:
		return nil, &refuser.Error{Code: refuser.ResendPending}
	case schema.Standing_STANDING_MISMATCH:
		return nil, &refuser.Error{Code: refuser.KeyReused}
	default:
		return nil, &refuser.Error{Code: refuser.ResendUnknown}
	}
}

// requestDigest returns a hash of method, URI and body. It detects the use of
// one key for different requests. Of a body that is not kept whole, the beginning and the
// length count.
func requestDigest(call *Call) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, call.Method+" "+call.URL.RequestURI()+"\n")
	h.Write(call.Body.identity())
	return h.Sum(nil)
}

// dispatchAndSettle dispatches a request and reports its outcome to the owner of
// the key.
func (e *Entry) dispatchAndSettle(ctx context.Context, call *Call, key string) (*entryResponse, error) {
	req := &schema.SettleRequest{Workspace: call.Parent.Workspace, Key: key}
	response, err := e.dispatch(ctx, call)
	if err != nil {
		req.Outcome = refuser.CodeOf(err).Info().Outcome
		e.sendSettle(ctx, call, req)
		return nil, err
	}
	body, readErr := readStorable(response.Body)
	if readErr == nil {
		req.Outcome = schema.Outcome_OUTCOME_ANSWERED
		req.Answer = toStored(response.Response, body)
	}
	// A response that is too large or truncated is returned as it is, but not
	// stored. The owner reports its outcome as unknown from now on.
	e.sendSettle(ctx, call, req)
	response.Body = prependBody(body, readErr, response.Body)
	return response, nil
}

// sendSettle sends the outcome of a request. It continues if the caller
// disconnects.
func (e *Entry) sendSettle(ctx context.Context, call *Call, req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	_ = e.IdempotencyStore.Settle(ctx, req, e.Dispatcher.regions(call))
}

// readStorable reads a body up to the size limit for stored responses. The error
// is nil if that was the complete body, and io.ErrShortBuffer if it is too large.
func readStorable(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, deduplicator.MaxAnswerBytes+1))
	if err == nil && len(data) > deduplicator.MaxAnswerBytes {
		err = io.ErrShortBuffer
	}
	return data, err
}

// prependBody returns a body that yields the bytes already read, and then the
// rest or the error with which reading ended.
func prependBody(read []byte, err error, rest io.ReadCloser) io.ReadCloser {
	var all io.Reader = bytes.NewReader(read)
	switch err {
	case nil:
	case io.ErrShortBuffer:
		all = io.MultiReader(all, rest)
	default:
		all = io.MultiReader(all, errorReader{err})
	}
	return &prefixedBody{all, rest}
}

// prefixedBody is a body of which a part has already been read.
type prefixedBody struct {
	io.Reader
	rest io.Closer
}

// Close closes the original body.
func (b *prefixedBody) Close() error { return b.rest.Close() }

// errorReader fails every read with the same error.
type errorReader struct{ err error }

// Read always returns the error.
func (e errorReader) Read([]byte) (int, error) { return 0, e.err }

// toStored converts a response to its stored form, without internal headers.
func toStored(resp *Response, body []byte) *schema.StoredAnswer {
	s := &schema.StoredAnswer{Status: uint32(resp.Status), Body: body}
	for name, values := range resp.Header {
		for _, value := range values {
			if !isInternalHeader(name) {
				s.Fields = append(s.Fields, &schema.Field{Name: name, Value: value})
			}
		}
	}
	return s
}

// fromStored converts a stored response back.
func fromStored(s *schema.StoredAnswer) *Response {
	header := http.Header{}
	for _, f := range s.GetFields() {
		header.Add(f.GetName(), f.GetValue())
	}
	body := io.NopCloser(bytes.NewReader(s.GetBody()))
	return &Response{Status: int(s.GetStatus()), Header: header, Body: body, Length: int64(len(s.GetBody()))}
}
