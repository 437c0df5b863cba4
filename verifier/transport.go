package verifier

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns a copy of a transport that returns no part of a response as a whole one. Its
// connections are of type Conn.
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
		return &Conn{Conn: conn}, nil
	}
	return t
}

// NewClient returns a client that makes calls like http.DefaultClient, over such a transport.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport))}
}
