package transporter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/transporter"
)

// countingBody counts the bytes that were read of a body without end.
type countingBody struct{ read int }

func (b *countingBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

// newAsking returns a request with a body of a length that is sent on demand.
func newAsking(t *testing.T, address string, body io.Reader, length int64) *http.Request {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	req.ContentLength = length
	req.Header.Set("Expect", "100-continue")
	return req
}

// TestBodyOnDemand checks that a body is read only after the peer has asked for it, so that a
// request which is refused before can be sent again.
func TestBodyOnDemand(t *testing.T) {
	const length = 1 << 20
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	refused := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"
	cases := map[string]struct {
		// before is sent once the head has arrived, and after once the body has.
		before, after string
		status, read  int
	}{
		"asked for":                   {"HTTP/1.1 100 Continue\r\n\r\n", ok, http.StatusOK, length},
		"asked for after another one": {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n", ok, http.StatusOK, length},
		"refused":                     {refused, "", http.StatusServiceUnavailable, 0},
		"refused after another one":   {"HTTP/1.1 102 Processing\r\n\r\n" + refused, "", http.StatusServiceUnavailable, 0},
		"closed":                      {"", "", 0, 0},
		"without end":                 {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), "", 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go serveOnce(l, c.before, c.after, length)
			body := &countingBody{}
			resp, err := transporter.New(nil).RoundTrip(newAsking(t, l.Addr().String(), io.LimitReader(body, length), length))
			if c.status == 0 {
				g.Expect(err).To(HaveOccurred())
				g.Expect(transporter.Sent(err)).To(BeTrue())
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(c.status))
				_, err = io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
			}
			g.Expect(body.read).To(BeNumerically("~", c.read, 64<<10))
		})
	}
}

// serveOnce answers one request in two parts.
func serveOnce(l net.Listener, before, after string, length int64) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for line := "-"; line != "\r\n"; {
		if line, err = r.ReadString('\n'); err != nil {
			return
		}
	}
	if _, err = io.WriteString(conn, before); err != nil || after == "" {
		return
	}
	if _, err = io.CopyN(io.Discard, r, length); err == nil {
		_, _ = io.WriteString(conn, after)
	}
}

// TestSlowReaderOfBody guards against a connection that ends since its peer, which is alive,
// passes a body on more slowly than it arrives: a full window counts as unacknowledged data.
func TestSlowReaderOfBody(t *testing.T) {
	const length, userTimeout, pause = 32 << 20, 200 * time.Millisecond, 2 * time.Second
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = r.Body.Read(make([]byte, 1))
		time.Sleep(pause)
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	defer server.Close()
	go func() { _ = server.Serve(l) }()
	tr := transporter.New(nil, transporter.UserTimeout(userTimeout))
	for range 2 {
		resp, err := tr.RoundTrip(newAsking(t, l.Addr().String(), io.LimitReader(&countingBody{}, length), length))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		g.Expect(resp.Body.Close()).To(Succeed())
	}
}
