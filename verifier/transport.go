package verifier

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns a copy of a transport that returns no broken responses as whole ones.
func NewTransport(t *http.Transport) http.RoundTripper {
	t = t.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: conn}, nil
	}
	return transport{t}
}

// transport checks the heads of responses.
type transport struct{ *http.Transport }

// RoundTrip makes a call. A response with an invalid head is an error.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		// A response without a body has returned its connection to the pool.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// NewClient returns a client that makes calls like http.DefaultClient, but returns no broken responses as whole ones.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport))}
}
