package transporter_test

import (
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

// TestKeepAliveIsHonoured checks that a connection is not reused if the peer
// announces an idle timeout within the margin.
func TestKeepAliveIsHonoured(t *testing.T) {
	cases := map[string]struct {
		header string
		opened int32
	}{
		"no header":   {"", 1},
		"ten seconds": {"timeout=10", 1},
		"one second":  {"timeout=1, max=100", 3},
		"unreadable":  {"timeout=soon", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var opened atomic.Int32
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.header != "" {
					w.Header().Set("Keep-Alive", c.header)
				}
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			tr := transporter.New(nil)
			for range 3 {
				req, err := http.NewRequest(http.MethodGet, s.URL, nil)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := tr.RoundTrip(req)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
			}
			g.Expect(opened.Load()).To(Equal(c.opened))
		})
	}
}

// TestStrayResponseIsDiscarded checks that a response with the ID of another request
// is discarded and not returned for the current one.
func TestStrayResponseIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go respondTwice(l)
	tr := transporter.New(nil, transporter.Accept(func(req *http.Request, resp *http.Response) bool {
		return resp.Header.Get("Request-Id") == req.Header.Get("Request-Id")
	}))
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Request-Id", "b")
	resp, err := tr.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("right"))
	g.Expect(resp.Body.Close()).To(Succeed())
}

func respondTwice(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return
	}
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	_, err = io.WriteString(c, strings.Join([]string{
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nright",
	}, ""))
	if err != nil {
		return
	}
}

// TestOnReset guards against a restart of a peer that is not noticed because no request was
// running, and against one that is noticed without reason.
func TestOnReset(t *testing.T) {
	cases := map[string]struct {
		// closed is the number of connections of three that the peer closes.
		closed int
		pause  time.Duration
		resets int
	}{
		"the peer restarts":              {3, 0, 1},
		"one connection stays open":      {2, 0, 0},
		"all stay open":                  {0, 0, 0},
		"long after the last request":    {3, 600 * time.Millisecond, 0},
		"shortly after the last request": {3, 100 * time.Millisecond, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var conns []net.Conn
			var mu sync.Mutex
			together := make(chan struct{})
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-together }))
			s.Config.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateNew {
					mu.Lock()
					defer mu.Unlock()
					conns = append(conns, c)
				}
			}
			s.Start()
			defer s.Close()
			resets := 0
			tr := transporter.New(nil, transporter.OnReset(func(address string) {
				g.Expect(address).To(Equal(s.Listener.Addr().String()))
				resets++
			}))
			send := func() {
				req, err := http.NewRequest(http.MethodGet, s.URL, nil)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := tr.RoundTrip(req)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
			}
			var group sync.WaitGroup
			for range 3 {
				group.Go(send)
			}
			g.Eventually(func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(conns)
			}).Should(Equal(3))
			close(together)
			group.Wait()
			time.Sleep(c.pause)
			for _, conn := range conns[:c.closed] {
				g.Expect(conn.Close()).To(Succeed())
			}
			time.Sleep(10 * time.Millisecond)
			send()
			send()
			g.Expect(resets).To(Equal(c.resets))
			g.Expect(tr.Connected(s.Listener.Addr().String())).To(BeTrue())
			for _, conn := range conns {
				_ = conn.Close()
			}
			time.Sleep(10 * time.Millisecond)
			g.Expect(tr.Connected(s.Listener.Addr().String())).To(BeFalse())
			send()
			g.Expect(tr.Connected(s.Listener.Addr().String())).To(BeTrue())
		})
	}
}
