package transporter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/transporter"
)

func get(t *transporter.Transporter, ctx context.Context, url string) (int, string, error) {
	req, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// TestConnectionsAreReused counts the connections opened for several kinds of
// responses.
func TestConnectionsAreReused(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		conns   int32
	}{
		"length": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "abc") }, 1},
		"empty":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 1},
		"chunked": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "bc")
		}, 1},
		"early hints": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "abc")
		}, 1},
		"closing": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "abc")
		}, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var conns atomic.Int32
			server := httptest.NewUnstartedServer(c.handler)
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					conns.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			tr := transporter.New(nil)
			for range 10 {
				_, _, err := get(tr, context.Background(), server.URL)
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(conns.Load()).To(Equal(c.conns))
		})
	}
}

// TestClosedIdleConnection closes the idle connections of the server between
// requests and checks that no request fails.
func TestClosedIdleConnection(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "abc") }))
	defer server.Close()
	tr := transporter.New(nil)
	for range 20 {
		_, _, err := get(tr, context.Background(), server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		server.CloseClientConnections()
	}
}

// TestRequestIsNotResent closes a connection after the request was read and checks
// that the request is not resent and is reported as sent.
func TestRequestIsNotResent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	var received atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && received.Add(1) == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				received.Add(1)
			}
			_ = conn.Close()
		}
	}()
	tr := transporter.New(nil)
	url := "http://" + listener.Addr().String()
	_, _, err = get(tr, context.Background(), url)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = get(tr, context.Background(), url)
	g.Expect(err).To(HaveOccurred())
	g.Expect(transporter.Sent(err)).To(BeTrue())
	g.Expect(received.Load()).To(Equal(int32(2)))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	_ = listener.Close()
	_, _, err = get(transporter.New(nil), context.Background(), "http://"+address)
	g.Expect(err).To(HaveOccurred())
	g.Expect(transporter.Sent(err)).To(BeFalse())
}

// TestCanceledContextSendsNothing checks that a request whose context is canceled is
// not sent on an idle connection.
func TestCanceledContextSendsNothing(t *testing.T) {
	g := NewWithT(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	tr := transporter.New(nil)
	_, _, err := get(tr, context.Background(), server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 200 {
		_, _, err = get(tr, canceled, server.URL)
		g.Expect(err).To(HaveOccurred())
		g.Expect(transporter.Sent(err)).To(BeFalse())
	}
	g.Expect(received.Load()).To(Equal(int32(1)))
}

// TestCancellation cancels one request before the response starts and one while the
// body of the response is read.
func TestCancellation(t *testing.T) {
	cases := map[string]string{"before the response": "", "within the response": "part"}
	for name, partialBody := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if partialBody != "" {
					_, _ = io.WriteString(w, partialBody)
					_ = http.NewResponseController(w).Flush()
				}
				<-release
			}))
			defer server.Close()
			defer close(release)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(30*time.Millisecond, cancel)
			_, _, err := get(transporter.New(nil), ctx, server.URL)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// TestConcurrentRequests sends concurrent requests with bodies and responses of
// many sizes.
func TestConcurrentRequests(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s:%s", r.URL.Path, body)
	}))
	defer server.Close()
	tr := transporter.New(nil)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			text := strings.Repeat("x", i*100)
			req, _ := http.NewRequest("POST", fmt.Sprintf("%s/%d", server.URL, i), strings.NewReader(text))
			resp, err := tr.RoundTrip(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal(fmt.Sprintf("/%d:%s", i, text)))
		})
	}
	group.Wait()
}
