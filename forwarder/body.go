package forwarder

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"quetzalhub/accountant"
	"quetzalhub/pacer"
	"quetzalhub/refuser"
)

const (
	// minBodyBuffer is the size in bytes of the first buffer for a body.
	minBodyBuffer = 1 << 10
	// streamBytes is the memory in bytes that passing on a body or a response takes, for the
	// buffers of both connections.
	streamBytes = 48 << 10
	// startInterval is the time between two checks of whether a long body may be passed on.
	startInterval = 20 * time.Millisecond
	// writeGrace is the time after the deadline of a request for which its response is
	// still written.
	writeGrace = time.Second
	// shortResponseBytes is the length up to which the buffers of a connection take a response, so
	// that writing it doesn't block.
	shortResponseBytes = 16 << 10
)

// Body is the body of a request. Its start is kept for further attempts; the rest, if there
// is any, is passed on as it arrives, once.
type Body struct {
	start []byte
	// length is the length of the whole body, or -1 if it is not known.
	length int64
	// digest stands for the whole body if there is a rest.
	digest []byte
	rest   *bodyRest
}

// NewBody returns a body that is kept whole.
func NewBody(data []byte) Body { return Body{start: data, length: int64(len(data))} }

// newStreamedBody returns a body of which only the start is kept.
func newStreamedBody(start []byte, length int64, rest *bodyRest) Body {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
	h.Write(start)
	return Body{start: start, length: length, digest: h.Sum(nil), rest: rest}
}

// identity returns bytes that agree for identical bodies: the body itself, or its digest.
func (b Body) identity() []byte {
	if b.rest != nil {
		return b.digest
	}
	return b.start
}

// spent reports whether a part of the body has been read that is not kept, so that the
// request cannot be sent again.
func (b Body) spent() bool { return b.rest != nil && b.rest.begun.Load() }

// err returns the error with which reading from the sender has ended, if it has.
func (b Body) err() error {
	if b.rest == nil {
		return nil
	}
	if err := b.rest.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// attach makes the body that of a request.
func (b Body) attach(req *http.Request) {
	req.ContentLength = b.length
	switch {
	case b.rest != nil:
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.start), b.rest))
	case len(b.start) > 0:
		req.Body = io.NopCloser(bytes.NewReader(b.start))
	}
}

// bodyRest is the part of a body that is not kept.
type bodyRest struct {
	source  io.Reader
	stream  *pacer.Stream
	onEnd   func()
	begun   atomic.Bool
	failure atomic.Pointer[error]
}

// Read reads from the sender.
func (r *bodyRest) Read(p []byte) (int, error) {
	r.begun.Store(true)
	n, err := r.source.Read(p)
	r.stream.Add(n)
	switch err {
	case nil:
	case io.EOF:
		r.onEnd()
	default:
		r.failure.Store(&err)
	}
	return n, err
}

// bodyReader reads the body of one request.
type bodyReader struct {
	request *http.Request
	writer  http.ResponseWriter
	loan    *accountant.Loan
	pacer   *pacer.Pacer
	// keep is the number of bytes that are kept, and limit the largest length.
	keep, limit int64
	deadline    time.Time
	// noRoom is the code of the refusal if the loan can't grow.
	noRoom refuser.Code
	// stream paces the reading of a long body.
	stream *pacer.Stream
}

// read reads a body up to the number of bytes that are kept. What is kept belongs to the
// loan. The caller calls close once the request has ended.
func (b *bodyReader) read() (Body, error) {
	length := b.request.ContentLength
	if length == 0 {
		return Body{}, nil
	}
	if length > b.limit {
		return Body{}, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	_ = http.NewResponseController(b.writer).SetReadDeadline(b.deadline)
	if pacer.IsLong(length) {
		b.stream = b.pacer.Open(length)
	}
	source := http.MaxBytesReader(b.writer, b.request.Body, b.limit)
	start, err := b.readStart(source)
	if err == io.EOF || err == nil && int64(len(start)) == length {
		b.endDeadline()
		return NewBody(start), nil
	}
	if err == nil {
		err = b.admitRest()
	}
	if err != nil {
		return Body{}, bodyError(err)
	}
	return newStreamedBody(start, length, b.newRest(source)), nil
}

// admitRest waits until the rest of a body may be passed on. It returns a refusal if there is no
// room for it, or no time.
func (b *bodyReader) admitRest() error {
	for !b.stream.Start() {
		if foreseen := b.stream.Foresee(); foreseen > time.Until(b.deadline) {
			return &refuser.Error{Code: refuser.ShedAtEntry, Detail: refuser.Detail{
				Note: "The node is busy with the bodies of other requests.", RetryAfter: foreseen,
			}}
		}
		time.Sleep(startInterval)
	}
	if !b.loan.Grow(streamBytes) {
		return &refuser.Error{Code: b.noRoom}
	}
	return nil
}

// open returns a body that is read while the request is sent on. The digest stands for it.
func (b *bodyReader) open(digest []byte) (Body, error) {
	if b.request.ContentLength > b.limit {
		return Body{}, &refuser.Error{Code: refuser.BodyTooLarge}
	}
	if !b.loan.Grow(streamBytes) {
		return Body{}, &refuser.Error{Code: b.noRoom}
	}
	_ = http.NewResponseController(b.writer).SetReadDeadline(b.deadline)
	b.stream = b.pacer.Open(b.request.ContentLength)
	rest := b.newRest(http.MaxBytesReader(b.writer, b.request.Body, b.limit))
	return Body{length: b.request.ContentLength, digest: digest, rest: rest}, nil
}

func (b *bodyReader) newRest(source io.Reader) *bodyRest {
	return &bodyRest{source: source, stream: b.stream, onEnd: b.endDeadline}
}

// readStart reads until the end of the body, which is an io.EOF, or until it has the bytes
// that are kept. The buffer grows with what arrives, not with what is announced.
func (b *bodyReader) readStart(source io.Reader) ([]byte, error) {
	var start []byte
	for {
		if len(start) == cap(start) {
			if int64(len(start)) >= b.keep {
				return start, nil
			}
			grown := b.nextSize(int64(len(start)))
			if !b.loan.Grow(grown - int64(cap(start))) {
				return nil, &refuser.Error{Code: b.noRoom}
			}
			start = append(make([]byte, 0, grown), start...)
		}
		n, err := source.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		b.stream.Add(n)
		if err != nil {
			return start, err
		}
	}
}

// nextSize returns the size of the buffer after one of the given size.
func (b *bodyReader) nextSize(size int64) int64 {
	next := max(2*size, minBodyBuffer)
	if length := b.request.ContentLength; length > 0 {
		// One byte more lets the last read return the end.
		next = min(next, length+1)
	}
	return min(next, b.keep)
}

// endDeadline ends the deadline for reading the body, which must not apply to the next
// request on the connection.
func (b *bodyReader) endDeadline() {
	_ = http.NewResponseController(b.writer).SetReadDeadline(time.Time{})
}

// close ends the reading of the body. The deadline remains if a part of it has not been read,
// since the server then still discards what arrives.
func (b *bodyReader) close() {
	b.stream.Close()
}

// bodyError returns the refusal for an error of reading a body before the request has run.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var refusal *refuser.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &tooLarge):
		return &refuser.Error{Code: refuser.BodyTooLarge}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refuser.Error{Code: refuser.BodyLate}
	default:
		return &refuser.Error{Code: refuser.BadRequest, Detail: refuser.Detail{Note: "The request body is truncated."}}
	}
}

// responseBytes returns the memory that passing on a response takes.
func responseBytes(resp *Response) int64 {
	if isShort(resp) {
		return resp.Length
	}
	return streamBytes
}

// isShort reports whether writing a response doesn't block.
func isShort(resp *Response) bool { return resp.Length >= 0 && resp.Length <= shortResponseBytes }

// limitWrites bounds the time for which a response may be written, so that a slow reader
// does not hold memory for longer. The result ends the bound.
func limitWrites(w http.ResponseWriter, resp *Response, deadline time.Time) func() {
	if isShort(resp) {
		return func() {}
	}
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}
