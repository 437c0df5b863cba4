package verifier_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/standin/breaker"
	"quetzalhub/verifier"
)

const ok = "HTTP/1.1 200 OK\r\n"

// call sends a body to a peer that answers, and returns the body of the answer.
func call(t *testing.T, a breaker.Answer, length int) (string, error) {
	server := httptest.NewServer(a)
	defer server.Close()
	return callAt(t, server, &http.Transport{}, length)
}

// callOverTLS is like call over a connection with TLS.
func callOverTLS(t *testing.T, a breaker.Answer, length int) (string, error) {
	server := httptest.NewTLSServer(a)
	defer server.Close()
	return callAt(t, server, server.Client().Transport.(*http.Transport), length)
}

func callAt(t *testing.T, server *httptest.Server, base *http.Transport, length int) (string, error) {
	g := NewWithT(t)
	transport := verifier.NewTransport(base)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, bytes.NewReader(make([]byte, length)))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := transport.RoundTrip(req)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the request lasted until its deadline")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the request lasted until its deadline")
	return string(text), err
}

// calls holds the ways to make a call.
var calls = map[string]func(t *testing.T, a breaker.Answer, length int) (string, error){
	"plaintext": call,
	"TLS":       callOverTLS,
}

// uploadLength is more than the buffers of a connection hold, so that a request is still being
// written when its answer has come.
const uploadLength = 64 << 20

// TestResets guards against a part of an answer that is taken for the whole one after a reset of
// the connection. net/http writes and reads at the same time, and either may get the reset.
func TestResets(t *testing.T) {
	const repeats = 20
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for range repeats {
				text, err := call(t, breaker.Answer{Text: ok + "\r\npart", Ending: breaker.Reset, Reads: 64 << 10}, uploadLength)
				NewWithT(t).Expect(err).To(HaveOccurred(), "the part %q was returned as a whole", text)
			}
		})
	}
}

// TestEarlyEnds guards against an early answer that is lost although its peer has ended it in order,
// and against a wait for the write of the request, which its peer need not read.
func TestEarlyEnds(t *testing.T) {
	cases := map[string]breaker.Answer{
		"reads the rest":         {Text: ok + "\r\nwhole", Ending: breaker.Close, Reads: 64 << 10},
		"does not read the rest": {Text: ok + "\r\nwhole", Ending: breaker.CloseAndStall, Reads: 64 << 10},
	}
	for name, a := range cases {
		for kind, call := range calls {
			t.Run(name+", "+kind, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				text, err := call(t, a, uploadLength)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(text).To(Equal("whole"))
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			})
		}
	}
}
