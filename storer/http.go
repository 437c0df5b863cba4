package storer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"quetzalhub/verifier"
)

// maxObjectBytes is the size of the largest object that the platform accepts.
const maxObjectBytes = 1 << 20

// HTTP is a Store that calls the platform over HTTP.
type HTTP struct {
	baseURL string
	timeout time.Duration
	client  *http.Client
}

// NewHTTP returns a store at an address; timeout bounds each call, in addition
// to the wait of a watch.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	return &HTTP{
		baseURL: "http://" + address + "/v1/objects/",
		timeout: timeout,
		client:  &http.Client{Transport: verifier.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})},
	}
}

// Read returns an object, or ErrMissing.
func (s *HTTP) Read(ctx context.Context, name string) (Object, error) {
	return s.get(ctx, name, Absent, 0)
}

// Watch waits for a version that differs from the known one.
func (s *HTTP) Watch(ctx context.Context, name string, known Version, wait time.Duration) (Object, error) {
	return s.get(ctx, name, known, wait)
}

func (s *HTTP) get(ctx context.Context, name string, known Version, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+name, nil)
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	if known != Absent {
		req.Header.Set("If-None-Match", string(known))
	}
	if wait > 0 {
		req.Header.Set("Prefer", fmt.Sprintf("wait=%.3f", wait.Seconds()))
	}
	return s.do(req)
}

func (s *HTTP) do(req *http.Request) (Object, error) {
	resp, err := s.client.Do(req)
	if err != nil {
		return Object{}, errors.Annotate(err, "calling the platform")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxObjectBytes+1))
	if err != nil {
		return Object{}, errors.Annotate(err, "reading the response of the platform")
	}
	if err := statusError(resp.StatusCode, data); err != nil {
		return Object{}, err
	}
	return Object{Data: data, Version: Version(resp.Header.Get("ETag"))}, nil
}

// Write replaces the object if it still has the known version.
func (s *HTTP) Write(ctx context.Context, name string, data []byte, known Version) (Version, error) {
	if len(data) > maxObjectBytes {
		return Absent, errors.Errorf("object %s has %d bytes; the platform accepts at most %d", name, len(data), maxObjectBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, s.baseURL+name, bytes.NewReader(data))
	if err != nil {
		return Absent, errors.Trace(err)
	}
	if known == Absent {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", string(known))
	}
	object, err := s.do(req)
	return object.Version, err
}

func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusNotFound:
		return ErrMissing
	case http.StatusPreconditionFailed:
		return ErrConflict
	default:
		return errors.Errorf("platform responded with status %d: %s", status, strings.TrimSpace(string(body)))
	}
}
