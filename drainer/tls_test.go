package drainer_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestDrainWithTLS guards against requests on connections with TLS that are read while the server
// drains and get no answer, and against a drain that waits for idle ones.
func TestDrainWithTLS(t *testing.T) {
	cases := map[string]struct {
		// kept is true if the connection has carried a request before.
		kept bool
		// begun and ended are the times, from the begin of the drain, at which the client sends the
		// two parts of a head; zero means never.
		begun, ended time.Duration
		answered     bool
	}{
		"new connection":             {false, 50 * time.Millisecond, 100 * time.Millisecond, true},
		"kept, head in parts":        {true, 5 * time.Millisecond, 600 * time.Millisecond, true},
		"kept, head in parts before": {true, -50 * time.Millisecond, 600 * time.Millisecond, true},
		"kept and idle":              {true, 0, 0, false},
		"unused":                     {false, 0, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			certified := httptest.NewTLSServer(http.NotFoundHandler())
			defer certified.Close()
			s, address := serve(g, answerNothing, func(l net.Listener) net.Listener {
				return tls.NewListener(l, &tls.Config{Certificates: certified.TLS.Certificates})
			})
			config := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
			config.ServerName = "example.com"
			conn, err := tls.Dial("tcp", address, config)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			reader := bufio.NewReader(conn)
			if c.kept {
				_, err := io.WriteString(conn, firstHalf+secondHalf)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
			}
			began := time.Now().Add(20 * time.Millisecond)
			if c.ended > 0 {
				time.AfterFunc(time.Until(began.Add(c.begun)), func() { _, _ = io.WriteString(conn, firstHalf) })
				time.AfterFunc(time.Until(began.Add(c.ended)), func() { _, _ = io.WriteString(conn, secondHalf) })
			}
			time.Sleep(time.Until(began))
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(context.Background()) }()
			resp, err := http.ReadResponse(reader, nil)
			g.Expect(err == nil).To(Equal(c.answered), "%v", err)
			if err == nil {
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				g.Expect(resp.Body.Close()).To(Succeed())
			}
			g.Eventually(drained, 2*time.Second).Should(Receive(BeNil()))
		})
	}
}
