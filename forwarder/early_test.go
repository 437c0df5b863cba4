package forwarder_test

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/standin/breaker"
)

// halfUpload is more than a node keeps of a body in these tests.
const halfUpload = 64 << 10

// passOn is an upstream that passes its requests on through its node and returns the answers.
func passOn(local string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequest(r.Method, "http://"+local+"/files/1", r.Body)
		if err != nil {
			return
		}
		req.ContentLength = r.ContentLength
		req.Header.Set(forwarder.HeaderTicket, r.Header.Get(forwarder.HeaderTicket))
		resp := send(req)
		if !resp.complete {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(resp.status)
		_, _ = io.WriteString(w, resp.body)
	})
}

// TestEarlyAnswers guards against a part of an answer that reaches a caller as a whole one, since
// the upstream answered an upload before its end and reset the connection.
func TestEarlyAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		answer breaker.Answer
		status int
	}{
		"part without a length":      {breaker.Answer{Text: ok + "\r\npart", Ending: breaker.Reset}, http.StatusBadGateway},
		"no part without a length":   {breaker.Answer{Text: ok + "\r\n", Ending: breaker.Reset}, http.StatusBadGateway},
		"part that closes":           {breaker.Answer{Text: ok + "Connection: close\r\n\r\npart", Ending: breaker.Reset}, http.StatusBadGateway},
		"whole with a length":        {breaker.Answer{Text: ok + "Content-Length: 5\r\n\r\nwhole", Ending: breaker.Reset}, http.StatusOK},
		"whole in chunks":            {breaker.Answer{Text: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Ending: breaker.Reset}, http.StatusOK},
		"whole that ends":            {breaker.Answer{Text: ok + "\r\nwhole", Ending: breaker.Close}, http.StatusOK},
		"whole that ends in a reset": {breaker.Answer{Text: ok + "\r\nwhole", Ending: breaker.CloseAndReset}, http.StatusOK},
	}
	for name, c := range cases {
		for _, path := range []string{"/files/1", "/pass/1"} {
			t.Run(name+" to "+path, func(t *testing.T) {
				g := NewWithT(t)
				m := newMesh(t)
				m.keptBytes = keptBytes
				m.addRoute("files", false)
				m.addRoute("pass", false)
				m.addNode("pass", passOn)
				ended := make(chan struct{})
				c.answer.Reads, c.answer.Ended = halfUpload/2, func() { close(ended) }
				m.addNode("files", func(string) http.Handler { return c.answer })
				m.join()
				req, err := http.NewRequest(http.MethodPost, m.nodes[0].callers.URL+path, breaker.NewUpload(halfUpload, ended))
				g.Expect(err).NotTo(HaveOccurred())
				req.ContentLength = 2 * halfUpload
				req.Header.Set("Authorization", "Bearer "+secret)
				resp := send(req)
				g.Expect(resp.status).To(Equal(c.status), resp.body)
				g.Expect(resp.complete).To(BeTrue())
				if c.status == http.StatusOK {
					g.Expect(resp.body).To(Equal("whole"))
					return
				}
				g.Expect(resp.body).To(ContainSubstring(`"code":3003`))
			})
		}
	}
}
