package caller

import "net/http"

const (
	// MaxMessageBytes is the largest message of a call between nodes: the state of the
	// largest fleet with its encoding, or its member table.
	MaxMessageBytes = 4 << 20
	// MaxHeadBytes is the largest head of a request or response that a node reads. It is
	// several times what configurations allow, since nodes add an envelope.
	MaxHeadBytes = 128 << 10
)

// boundedTransport limits the bodies of responses. The clients of package schema read them
// whole.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip makes a call. Reading more than MaxMessageBytes of the response fails.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, MaxMessageBytes)
	return resp, nil
}
