// Package transporter sends HTTP/1.1 requests over pooled connections in the
// calling goroutine.
//
// The transport of net/http hands each request to two goroutines of its
// connection, and may resend it on its own. A Transporter does neither: it writes
// the request and reads the response in the calling goroutine, never resends, and
// reports whether any byte of the request may have been sent.
// Requests and responses are encoded and decoded by net/http. A response with a status
// outside 100 to 599, one that switches protocols, or one with a field whose name is no token, is an
// error, and so is one whose end can't be told from a reset of its connection.
//
// # Usage
//
//	t := transporter.New(nil)
//	resp, err := t.RoundTrip(req)
//	if err != nil && !transporter.Sent(err) { the request was not sent }
//
// With the header "Expect: 100-continue", the body of a request is read only once the peer
// asks for it.
//
// The body of a response must be read to its end or closed. Requests carry
// their deadline and cancellation in their context.
package transporter

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhub/util/meter"
	"quetzalhub/verifier"
)

const (
	// dialTimeout bounds the time to open a TCP connection.
	dialTimeout = time.Second
	// idlePerHost is the number of idle connections kept to one address.
	idlePerHost = 128
	// idleTimeout is the time after which idle connections are not used again.
	idleTimeout = 30 * time.Second
	// idleMargin is subtracted from the timeout that the peer announces in Keep-Alive.
	idleMargin = time.Second
	// bufferSize is the size of the buffers of a connection in bytes.
	bufferSize = 8 << 10
	// maxHeadBytes is the largest accepted head of a response.
	maxHeadBytes = 64 << 10
	// maxDiscardBytes is the number of bytes read at most to discard a stray response.
	maxDiscardBytes = 1 << 20
	// maxDiscarded is the number of stray and informational responses that may precede
	// the response to a request.
	maxDiscarded = 8
	// sweepInterval is the interval at which idle connections are closed that cannot be
	// reused, so that a peer that keeps sending on them does not fill their buffers.
	// Each is read once after its last use, since a node has thousands of them.
	sweepInterval = 2 * time.Second
	// recentUse is the time after its use within which a peer does not close an idle
	// connection without a reason.
	recentUse = 500 * time.Millisecond
	// responseGrace is the time allowed to read a response after a failed write.
	responseGrace = 50 * time.Millisecond
)

// sentError wraps an error that occurred after the request may have been sent.
type sentError struct{ cause error }

// Error returns the cause.
func (e *sentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sentError) Unwrap() error { return e.cause }

// Sent reports whether any byte of the request may have been sent, given the
// error of its round trip.
func Sent(err error) bool {
	var sent *sentError
	return errors.As(err, &sent)
}

// Transporter sends requests over pooled connections.
type Transporter struct {
	config *tls.Config
	dialer net.Dialer
	// userTimeout is set by the option UserTimeout.
	userTimeout time.Duration
	accept      func(*http.Request, *http.Response) bool
	// onReset is set by the option OnReset.
	onReset func(address string)
	// counter is set by the option Count.
	counter meter.Counter

	mu   sync.Mutex
	idle map[string][]*connection
	// sweeping is true while a sweep is scheduled.
	sweeping bool
}

// connection is a pooled connection with its buffers.
type connection struct {
	net.Conn
	owner     *Transporter
	address   string
	input     *cappedReader
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// swept is true once a sweep has found the idle connection alive.
	swept bool
	// maxIdle is the time for which the connection may be reused.
	maxIdle time.Duration
}

// New returns a Transporter. A nil config means plaintext connections.
func New(config *tls.Config, opts ...Option) *Transporter {
	t := &Transporter{
		config: config,
		dialer: net.Dialer{Timeout: dialTimeout},
		idle:   map[string][]*connection{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RoundTrip sends a request and returns its response.
func (t *Transporter) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c, err := t.connect(ctx, req.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	resp, err := c.exchange(req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &sentError{errors.Join(ctx.Err(), err)}
	}
	resp.Body = &body{ReadCloser: resp.Body, connection: c, stop: stop, reusable: !resp.Close}
	return resp, nil
}

// connect returns an idle connection or a new one.
func (t *Transporter) connect(ctx context.Context, address string) (*connection, error) {
	reset := false
	for {
		c := t.takeIdle(address)
		if c == nil {
			if reset && t.onReset != nil {
				t.onReset(address)
			}
			return t.dial(ctx, address)
		}
		if c.reusable() {
			return c, nil
		}
		reset = reset || time.Since(c.idleSince) < recentUse
		_ = c.Close()
	}
}

func (t *Transporter) takeIdle(address string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	t.idle[address] = list[:len(list)-1]
	return c
}

// release returns a connection to the pool, or closes it if the pool is full.
func (t *Transporter) release(c *connection) {
	c.idleSince, c.swept = time.Now(), false
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.address]) >= idlePerHost {
		_ = c.Close()
		return
	}
	t.idle[c.address] = append(t.idle[c.address], c)
	t.scheduleSweep()
}

// scheduleSweep schedules a sweep if none is scheduled. The caller holds the lock.
func (t *Transporter) scheduleSweep() {
	if !t.sweeping {
		t.sweeping = true
		time.AfterFunc(sweepInterval, t.sweep)
	}
}

// sweep closes the idle connections that cannot be reused.
func (t *Transporter) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweeping = false
	for address, list := range t.idle {
		list = slices.DeleteFunc(list, func(c *connection) bool {
			expired := time.Since(c.idleSince) >= c.maxIdle
			if !expired && (c.swept || c.alive()) {
				c.swept = true
				return false
			}
			_ = c.Close()
			return true
		})
		t.idle[address] = list
		if len(list) == 0 {
			delete(t.idle, address)
			continue
		}
		t.scheduleSweep()
	}
}

// reusable reports whether an idle connection may carry another request.
func (c *connection) reusable() bool { return time.Since(c.idleSince) < c.maxIdle && c.alive() }

func (t *Transporter) dial(ctx context.Context, address string) (*connection, error) {
	raw, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if t.config != nil {
		if raw, err = t.startTLS(ctx, raw, address); err != nil {
			return nil, err
		}
	}
	// The connection itself is kept for its socket options.
	stream := raw
	if t.counter != nil {
		stream = meter.Wrap(raw, t.counter(address))
	}
	input := &cappedReader{source: stream}
	return &connection{
		Conn:    raw,
		owner:   t,
		address: address,
		input:   input,
		reader:  bufio.NewReaderSize(input, bufferSize),
		writer:  bufio.NewWriterSize(stream, bufferSize),
	}, nil
}

func (t *Transporter) startTLS(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	config := t.config.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address)
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// interrupt makes pending reads and writes fail, by a deadline in the past.
func (c *connection) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// exchange writes a request and reads the head of the response.
func (c *connection) exchange(req *http.Request) (*http.Response, error) {
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && req.Body != nil {
		return c.exchangeOnContinue(req)
	}
	return c.readFinal(req, c.write(req))
}

func (c *connection) write(req *http.Request) error {
	if err := req.Write(c.writer); err != nil {
		// The error of the connection, which the writer keeps, can't be unwrapped from that of
		// the request.
		_, connErr := c.writer.Write(nil)
		return cmp.Or(connErr, err)
	}
	return c.writer.Flush()
}

// readFinal reads the head of the response to a request whose writing ended with an error
// or nil.
func (c *connection) readFinal(req *http.Request, writeErr error) (*http.Response, error) {
	if writeErr != nil {
		// The peer may have responded before it read the whole body.
		_ = c.SetReadDeadline(time.Now().Add(responseGrace))
	}
	for range maxDiscarded + 1 {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, errors.Join(writeErr, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		c.maxIdle = reuseTimeout(resp.Header)
		if t := c.owner; t.accept != nil && !t.accept(req, resp) {
			c.input.remaining = maxDiscardBytes
			if err := discardResponse(resp); err != nil {
				return nil, errors.Join(writeErr, err)
			}
			continue
		}
		if err := verifier.CheckEnd(resp, writeErr); err != nil {
			return nil, errors.Join(writeErr, err)
		}
		c.input.remaining = math.MaxInt64
		resp.Close = resp.Close || writeErr != nil
		return resp, nil
	}
	return nil, errors.Join(writeErr, fmt.Errorf("more than %d stray or informational responses", maxDiscarded))
}

// readHead reads the valid head of one response, which may be informational.
func (c *connection) readHead(req *http.Request) (*http.Response, error) {
	c.input.remaining = maxHeadBytes
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	return resp, verifier.CheckHead(resp)
}

// reuseTimeout returns the time for which a connection may be reused: the
// timeout in the Keep-Alive header less a margin, so that no request is sent while
// the peer closes the connection.
func reuseTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			return min(time.Duration(seconds)*time.Second-idleMargin, idleTimeout)
		}
	}
	return idleTimeout
}

// discardResponse reads a response that belongs to no pending request, so that the
// next one can be read.
func discardResponse(resp *http.Response) error {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("stray response that closes the connection")
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// errTooLong means that a head or a stray response exceeds its limit.
var errTooLong = errors.New("response head or stray response is too long")

// cappedReader reads from a connection until the remaining number of bytes has been
// read. http.ReadResponse itself reads heads without a limit.
type cappedReader struct {
	source    io.Reader
	remaining int64
}

// Read reads at most the remaining bytes.
func (r *cappedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	return n, err
}

// body is the body of a response. Closing it returns the connection to the pool if the
// body was read to its end.
type body struct {
	io.ReadCloser
	connection *connection
	stop       func() bool
	reusable   bool
	reachedEOF bool
	closed     bool
}

// Read reads from the body and records whether its end was reached.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.reachedEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if no unread data is left on it and
// closes it otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	interrupted := !b.stop()
	if b.drained() && b.reusable && !interrupted && b.connection.reader.Buffered() == 0 {
		b.connection.owner.release(b.connection)
		return nil
	}
	return b.connection.Close()
}

// drained reports whether the body was read to its end or is empty.
func (b *body) drained() bool {
	if b.reachedEOF {
		return true
	}
	n, err := b.ReadCloser.Read(make([]byte, 1))
	return n == 0 && err == io.EOF
}
