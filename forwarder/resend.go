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
const maxKey = 256

// Homes reaches the homes of idempotency keys.
type Homes interface {
	// Claim records the use of a key at its home.
	Claim(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error)
	// Settle tells the home how the request ended.
	Settle(ctx context.Context, req *schema.SettleRequest) error
}

// once runs a request with an idempotency key at most once, however often it
// is sent.
func (e *Entry) once(ctx context.Context, call *Call, key string) (*entryAnswer, error) {
	if len(key) > maxKey {
		return nil, &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The idempotency key is too long."}}
	}
	claim := &schema.ClaimRequest{
		Workspace: call.Parent.Workspace,
		Key:       key,
		Digest:    digestOf(call),
		Left:      durationpb.New(timeLeft(call.Parent.Deadline)),
	}
	resp, err := e.Homes.Claim(ctx, claim)
	if err != nil {
		return nil, &refuser.Error{Code: refuser.ResendUnknown}
	}
	switch resp.GetStanding() {
	case schema.Standing_STANDING_GRANTED:
		return e.settled(ctx, call, key)
	case schema.Standing_STANDING_ANSWERED:
		return &entryAnswer{replay(resp.GetAnswer()), func() {}}, nil
	case schema.Standing_STANDING_PENDING:
		return nil, &refuser.Error{Code: refuser.ResendPending}
	case schema.Standing_STANDING_MISMATCH:
		return nil, &refuser.Error{Code: refuser.KeyReused}
	default:
		return nil, &refuser.Error{Code: refuser.ResendUnknown}
	}
}

func digestOf(call *Call) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, call.Method+" "+call.URL.RequestURI()+"\n")
	h.Write(call.Body)
	return h.Sum(nil)
}

// settled runs a request and tells the home how it ended.
func (e *Entry) settled(ctx context.Context, call *Call, key string) (*entryAnswer, error) {
	settle := &schema.SettleRequest{Workspace: call.Parent.Workspace, Key: key}
	answer, err := e.dispatch(ctx, call)
	if err != nil {
		settle.Outcome = refuser.Of(err).Meaning().Outcome
		e.settle(ctx, settle)
		return nil, err
	}
	body, whole := readStored(answer.Body)
	if whole == nil {
		settle.Outcome = schema.Outcome_OUTCOME_ANSWERED
		settle.Answer = stored(answer.Answer, body)
	}
	// An answer that is too large or cut short goes on as it came, and is not
	// kept: the home calls its outcome unknown from now on.
	e.settle(ctx, settle)
	answer.Body = resume(body, whole, answer.Body)
	return answer, nil
}

// settle is not given up when the caller is gone.
func (e *Entry) settle(ctx context.Context, req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	_ = e.Homes.Settle(ctx, req)
}

// readStored reads a body as far as it may be kept. The error is nil if that
// was all of it.
func readStored(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, deduplicator.MaxAnswerBytes+1))
	if err == nil && len(data) > deduplicator.MaxAnswerBytes {
		err = io.ErrShortBuffer
	}
	return data, err
}

// resume returns a body that yields what was read and then the rest.
func resume(read []byte, err error, rest io.ReadCloser) io.ReadCloser {
	var all io.Reader = bytes.NewReader(read)
	switch err {
	case nil:
	case io.ErrShortBuffer:
		all = io.MultiReader(all, rest)
	default:
		all = io.MultiReader(all, failing{err})
	}
	return &resumed{all, rest}
}

// resumed is a body of which a part was read before.
type resumed struct {
	io.Reader
	rest io.Closer
}

// Close closes the original body.
func (r *resumed) Close() error { return r.rest.Close() }

// failing fails every read.
type failing struct{ err error }

// Read returns the error.
func (f failing) Read([]byte) (int, error) { return 0, f.err }

func stored(a *Answer, body []byte) *schema.StoredAnswer {
	s := &schema.StoredAnswer{Status: uint32(a.Status), Body: body}
	for name, values := range a.Header {
		for _, value := range values {
			if !ownHeader(name) {
				s.Fields = append(s.Fields, &schema.Field{Name: name, Value: value})
			}
		}
	}
	return s
}

func replay(s *schema.StoredAnswer) *Answer {
	header := http.Header{}
	for _, f := range s.GetFields() {
		header.Add(f.GetName(), f.GetValue())
	}
	body := io.NopCloser(bytes.NewReader(s.GetBody()))
	return &Answer{Status: int(s.GetStatus()), Header: header, Body: body, Length: int64(len(s.GetBody()))}
}
