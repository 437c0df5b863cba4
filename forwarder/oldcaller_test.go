package forwarder_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/standin/breaker"
)

// sendOld sends a request of HTTP/1.0, whose answer may end with the connection. A nil config
// means a plaintext connection.
func sendOld(address string, config *tls.Config, path, fields string) response {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return response{}
	}
	if config != nil {
		conn = tls.Client(conn, config)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n%s\r\n", path, fields); err != nil {
		return response{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{}
	}
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(text), err == nil}
}

// passOnOld is like passOn, but makes its calls in HTTP/1.0.
func passOnOld(local string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := sendOld(local, nil, "/files/1", forwarder.HeaderTicket+": "+r.Header.Get(forwarder.HeaderTicket)+"\r\n")
		if !resp.complete {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(resp.status)
		_, _ = io.WriteString(w, resp.body)
	})
}

// TestAnswersToOldCallers guards against a part of an answer that a caller of HTTP/1.0 takes for the
// whole one, since it does not know chunks and the end of the connection is that of the body.
func TestAnswersToOldCallers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunk = "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	cases := map[string]struct {
		answer breaker.Answer
		whole  string
	}{
		"part in chunks, reset":    {breaker.Answer{Text: ok + chunk, Ending: breaker.Reset}, ""},
		"part in chunks, closed":   {breaker.Answer{Text: ok + chunk, Ending: breaker.Close}, ""},
		"odd chunk":                {breaker.Answer{Text: ok + chunk + "odd\r\n", Ending: breaker.Stay}, ""},
		"part without length":      {breaker.Answer{Text: ok + "\r\npart", Ending: breaker.Reset}, ""},
		"part of a length":         {breaker.Answer{Text: ok + "Content-Length: 20\r\n\r\npart", Ending: breaker.Reset}, ""},
		"whole in chunks":          {breaker.Answer{Text: ok + chunk + "5\r\n and \r\n5\r\nwhole\r\n0\r\n\r\n", Ending: breaker.Stay}, "part and whole"},
		"whole with a length":      {breaker.Answer{Text: ok + "Content-Length: 5\r\n\r\nwhole", Ending: breaker.Stay}, "whole"},
		"whole without a length":   {breaker.Answer{Text: ok + "\r\nwhole", Ending: breaker.Close}, "whole"},
		"whole without any length": {breaker.Answer{Text: ok + "\r\n" + strings.Repeat("whole", 50_000), Ending: breaker.Close}, strings.Repeat("whole", 50_000)},
	}
	for name, c := range cases {
		for kind, path := range map[string]string{"caller": "/files/1", "caller over TLS": "/files/1", "upstream": "/pass/1"} {
			t.Run(name+" to "+kind, func(t *testing.T) {
				g := NewWithT(t)
				m := newMesh(t)
				m.addRoute("files", false)
				m.addRoute("pass", false)
				m.addNode("pass", passOnOld)
				m.addNode("files", func(string) http.Handler { return c.answer })
				m.join()
				server, config := m.nodes[0].callers, (*tls.Config)(nil)
				if kind == "caller over TLS" {
					server = httptest.NewTLSServer(server.Config.Handler)
					t.Cleanup(server.Close)
					config = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "example.com"}
					config.RootCAs.AddCert(server.Certificate())
				}
				resp := sendOld(server.Listener.Addr().String(), config, path, "Authorization: Bearer "+secret+"\r\n")
				if c.whole == "" {
					g.Expect(resp.status == http.StatusOK && resp.complete).To(BeFalse(), "the part %q was sent as a whole", resp.body)
					return
				}
				g.Expect(resp).To(Equal(response{http.StatusOK, c.whole, true}))
			})
		}
	}
}
