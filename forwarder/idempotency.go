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
	"quetzalhub/schema"
)

// headerKey is the header by which callers mark a request they may send again.
const headerKey = "Idempotency-Key"

// maxKey is the length of the longest accepted idempotency key in bytes.
const maxKeyBytes = 256

// IdempotencyStore reaches the homes of idempotency keys.
type IdempotencyStore interface {
	// Claim records the use of a key at its home.
	Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error)
	// Settle tells the home how the request ended.
	Settle(ctx context.Context, req *schema.SettleRequest) error
}

// once runs a request with an idempotency key at most once, however often it
// is sent.
func (e *Entry) dispatchWithKey(ctx context.Context, call *Call, key string) (*entryResponse, error) {
	if len(key) > maxKeyBytes {
		return nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The idempotency key is too long."}}
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
		return &entryResponse{fromStored(resp.GetAnswer()), func() {}}, nil
	case schema.Standing_STANDING_PENDING:
		return nil, &refuser.Error{Code: refuser.ResendPending}
	case schema.Standing_STANDING_MISMATCH:
		return nil, &refuser.Error{Code: refuser.KeyReused}
	default:
		return nil, &refuser.Error{Code: refuser.ResendUnknown}
	}
}

func requestDigest(call *Call) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, call.Method+" "+call.URL.RequestURI()+"\n")
	h.Write(call.Body)
	return h.Sum(nil)
}

// settled runs a request and tells the home how it ended.
func (e *Entry) dispatchAndSettle(ctx context.Context, call *Call, key string) (*entryResponse, error) {
	req := &schema.SettleRequest{Workspace: call.Parent.Workspace, Key: key}
	response, err := e.dispatch(ctx, call)
	if err != nil {
		req.Outcome = refuser.Of(err).Meaning().Outcome
		e.sendSettle(ctx, req)
		return nil, err
	}
	body, readErr := readStorable(response.Body)
	if readErr == nil {
		req.Outcome = schema.Outcome_OUTCOME_ANSWERED
		req.Answer = toStored(response.Response, body)
	}
	// An answer that is too large or cut short goes on as it came, and is not
	// kept: the home calls its outcome unknown from now on.
	e.sendSettle(ctx, req)
	response.Body = prependBody(body, readErr, response.Body)
	return response, nil
}

// settle is not given up when the caller is gone.
func (e *Entry) sendSettle(ctx context.Context, req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	_ = e.IdempotencyStore.Settle(ctx, req)
}

// readStored reads a body as far as it may be kept. The error is nil if that
// was all of it.
func readStorable(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, deduplicator.MaxStored+1))
	if err == nil && len(data) > deduplicator.MaxStored {
		err = io.ErrShortBuffer
	}
	return data, err
}

// resume returns a body that yields what was read and then the rest.
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

// resumed is a body of which a part was read before.
type prefixedBody struct {
	io.Reader
	rest io.Closer
}

// Close closes the original body.
func (r *prefixedBody) Close() error { return r.rest.Close() }

// failing fails every read.
type errorReader struct{ err error }

// Read returns the error.
func (f errorReader) Read([]byte) (int, error) { return 0, f.err }

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

func fromStored(s *schema.StoredAnswer) *Response {
	header := http.Header{}
	for _, f := range s.GetFields() {
		header.Add(f.GetName(), f.GetValue())
	}
	body := io.NopCloser(bytes.NewReader(s.GetBody()))
	return &Response{Status: int(s.GetStatus()), Header: header, Body: body, Length: int64(len(s.GetBody()))}
}
