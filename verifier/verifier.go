// Package verifier keeps broken responses from being taken for whole ones.
//
// CheckHead finds heads that net/http accepts but HTTP does not allow. CheckEnd finds bodies that may
// be a part of what the peer meant to send: a body without a stated length ends with its
// connection, and HTTP counts it as whole unless the connection reports an error, which may have
// gone to the write of the request. NewTransport makes both checks for clients of net/http, which
// write and read at the same time.
//
// # Usage
//
//	client := &http.Client{Transport: verifier.NewTransport(&http.Transport{})}
//
// A client that writes its request before it reads the response calls the checks itself:
//
//	writeErr := req.Write(conn)
//	resp, err := http.ReadResponse(reader, req)
//	if err == nil {
//		err = errors.Join(verifier.CheckHead(resp), verifier.CheckEnd(resp, writeErr))
//	}
package verifier

import (
	"errors"
	"net/http"
	"syscall"
)

// CheckEnd returns an error if the end of the body of a response can't be told from a reset of its
// connection, given the error with which the write of its request ended, or nil.
func CheckEnd(resp *http.Response, writeErr error) error {
	if endsWithConnection(resp) && hidesReset(writeErr) {
		return errors.New("the end of the response is not known")
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection marks the end of the body of
// a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// hidesReset reports whether a connection may have been reset before the peer had ended it,
// given the error of a write. A socket reports its error once: after a write has got it, reads
// return io.EOF. EPIPE means that the peer had ended the connection before, so that io.EOF
// is the end of what it sent.
func hidesReset(writeErr error) bool {
	var errno syscall.Errno
	return errors.As(writeErr, &errno) && errno != syscall.EPIPE
}
