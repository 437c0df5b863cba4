// Package verifier keeps broken responses from being taken for whole ones.
//
// A body without a stated length ends with its connection, and HTTP counts it as whole unless the
// connection reports an error. HidesReset tells whether that error may have gone unseen.
//
// A Conn is a connection whose reads return that error, for clients that write and read at the same
// time, as those of net/http do.
//
// # Usage
//
//	if verifier.EndsWithConnection(resp) && verifier.HidesReset(writeErr) {
//		// The body may be a part of what the peer meant to send.
//	}
//	client := &http.Client{Transport: verifier.NewTransport(&http.Transport{})}
package verifier

import (
	"errors"
	"net/http"
	"syscall"
)

// EndsWithConnection reports whether only the end of the connection marks the end of the body of
// a response.
func EndsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// HidesReset reports whether a connection may have been reset before the peer had ended it,
// given the error of a write. A socket reports its error once: after a write has got it, reads
// return io.EOF. EPIPE means that the peer had ended the connection before, so that io.EOF
// is the end of what it sent.
func HidesReset(writeErr error) bool {
	var errno syscall.Errno
	return errors.As(writeErr, &errno) && errno != syscall.EPIPE
}
