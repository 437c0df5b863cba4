package transporter

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"time"
)

// errAnswered ends the writing of a request that was answered before its body was sent.
var errAnswered = errors.New("answered without the body")

// exchangeOnContinue writes a request, its body only once the peer asks for it, and reads
// the head of the response.
func (c *connection) exchangeOnContinue(req *http.Request) (*http.Response, error) {
	b := &awaitedBody{ReadCloser: req.Body, connection: c, request: req}
	waiting := *req
	waiting.Body = b
	writeErr := c.write(&waiting)
	if b.asked {
		c.limitUnacked(c.owner.userTimeout)
	}
	if b.err != nil {
		return nil, b.err
	}
	if b.response == nil {
		return c.readFinal(req, writeErr)
	}
	c.input.remaining = math.MaxInt64
	// The peer may take what follows on the connection for the body.
	b.response.Close = true
	return b.response, nil
}

// limitUnacked changes the user timeout of the connection if the Transporter sets one.
func (c *connection) limitUnacked(after time.Duration) {
	if c.owner.userTimeout == 0 {
		return
	}
	if raw, ok := rawConn(c.Conn); ok {
		// A connection that is already closed fails on its next use.
		_ = setUserTimeout(raw, after)
	}
}

// awaitedBody is a body that waits for the peer to ask for it.
type awaitedBody struct {
	io.ReadCloser
	connection *connection
	request    *http.Request
	asked      bool
	// response is the response of a peer that did not ask for the body.
	response *http.Response
	// err is set if what came while the peer was awaited is no valid response. Nothing after it
	// on the connection is one.
	err error
}

// Read waits for the peer and then reads from the body.
func (b *awaitedBody) Read(p []byte) (int, error) {
	if b.response != nil {
		return 0, errAnswered
	}
	if !b.asked {
		if err := b.await(); err != nil {
			if b.response == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				b.err = err
			}
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}

// await reads the informational response that asks for the body.
func (b *awaitedBody) await() error {
	for range maxDiscarded + 1 {
		resp, err := b.connection.readHead(b.request)
		switch {
		case err != nil:
			return err
		case resp.StatusCode == http.StatusContinue:
			b.asked = true
			b.connection.limitUnacked(0)
			return nil
		case resp.StatusCode < http.StatusOK:
		case b.connection.owner.accept != nil && !b.connection.owner.accept(b.request, resp):
			b.connection.input.remaining = maxDiscardBytes
			if err := discardResponse(resp); err != nil {
				return err
			}
		default:
			b.response = resp
			return errAnswered
		}
	}
	return fmt.Errorf("more than %d stray or informational responses", maxDiscarded)
}
