package transporter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/standin/breaker"
	"quetzalhub/transporter"
)

// uploadLength is more than the buffers of a connection hold, so that the request is still being
// written when its answer has come.
const uploadLength = 64 << 20

// TestEarlyAnswers guards against a part of an answer that is taken for the whole one, if the peer
// answers before it has read the request and resets the connection: the write of the request
// reports the reset, and the read that follows ends like that of a whole answer. Whole
// answers must be returned.
func TestEarlyAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		answer string
		ending breaker.Ending
		// broken is true if the answer, or its body, is an error.
		broken bool
	}{
		"part without a length":               {ok + "\r\npart", breaker.Reset, true},
		"no part without a length":            {ok + "\r\n", breaker.Reset, true},
		"part that closes":                    {ok + "Connection: close\r\n\r\npart", breaker.Reset, true},
		"part of HTTP/1.0":                    {"HTTP/1.0 200 OK\r\n\r\npart", breaker.Reset, true},
		"part of a failure":                   {"HTTP/1.1 500 Internal Server Error\r\n\r\npart", breaker.Reset, true},
		"part after 103":                      {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "\r\npart", breaker.Reset, true},
		"part of a length":                    {ok + "Content-Length: 20\r\n\r\npart", breaker.Reset, true},
		"part in chunks":                      {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", breaker.Reset, true},
		"part of a head":                      {ok + "Content-Le", breaker.Reset, true},
		"whole of a length":                   {ok + "Content-Length: 5\r\n\r\nwhole", breaker.Reset, false},
		"whole of a length that closes":       {ok + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole", breaker.Reset, false},
		"whole of length zero":                {ok + "Content-Length: 0\r\n\r\n", breaker.Reset, false},
		"whole in chunks":                     {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", breaker.Reset, false},
		"whole without content":               {"HTTP/1.1 204 No Content\r\n\r\n", breaker.Reset, false},
		"whole refusal":                       {"HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole", breaker.Reset, false},
		"whole that ends, then a reset":       {ok + "\r\nwhole", breaker.CloseAndReset, false},
		"whole that ends":                     {ok + "\r\nwhole", breaker.Close, false},
		"whole of HTTP/1.0 that ends":         {"HTTP/1.0 200 OK\r\n\r\nwhole", breaker.Close, false},
		"whole of a length that ends":         {ok + "Content-Length: 5\r\n\r\nwhole", breaker.Close, false},
		"part of a length that ends":          {ok + "Content-Length: 20\r\n\r\npart", breaker.Close, true},
		"part in chunks that ends":            {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", breaker.Close, true},
		"part in chunks that ends in a reset": {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", breaker.CloseAndReset, true},
	}
	uploads := map[string]func(*http.Request){
		"at once":   func(req *http.Request) { req.ContentLength = uploadLength },
		"in chunks": func(req *http.Request) { req.ContentLength = -1 },
		"on demand": func(req *http.Request) {
			req.ContentLength = uploadLength
			req.Header.Set("Expect", "100-continue")
		},
	}
	for name, c := range cases {
		for kind, prepare := range uploads {
			t.Run(kind+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				server := httptest.NewServer(breaker.Answer{Text: c.answer, Ending: c.ending, Reads: 64 << 10})
				t.Cleanup(server.Close)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, io.LimitReader(&countingBody{}, uploadLength))
				g.Expect(err).NotTo(HaveOccurred())
				prepare(req)
				text, err := readEarly(transporter.New(nil), req)
				g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the request lasted until its deadline")
				if c.broken {
					g.Expect(err).To(HaveOccurred(), "the part %q was returned as a whole", text)
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				if strings.Contains(c.answer, "whole") {
					g.Expect(text).To(Equal("whole"))
				}
			})
		}
	}
}

// readEarly sends a request and returns the body of the answer.
func readEarly(tr *transporter.Transporter, req *http.Request) (string, error) {
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
