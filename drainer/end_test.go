package drainer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/drainer"
)

// serve starts a server on loopback. Its listener may be wrapped.
func serve(g *WithT, handler http.HandlerFunc, wrap func(net.Listener) net.Listener, opts ...drainer.Option) (*drainer.Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	s := drainer.New(handler, opts...)
	go func() { _ = s.Serve(l) }()
	return s, address
}

// open opens a connection and sends a text on it.
func open(t *testing.T, address, text string) net.Conn {
	g := NewWithT(t)
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

func answerNothing(http.ResponseWriter, *http.Request) {}

// TestDrainEnds guards against a drain that waits for connections on which no request is
// expected, and against one that reports an error although it has cut nothing.
func TestDrainEnds(t *testing.T) {
	const slack = 700 * time.Millisecond
	cases := map[string]struct {
		handler http.HandlerFunc
		wrap    func(net.Listener) net.Listener
		use     func(t *testing.T, address string)
		bound   time.Duration
	}{
		"no connection": {answerNothing, nil, func(*testing.T, string) {}, 0},
		"hijacked connection, closed beneath": {func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.(interface{ NetConn() net.Conn }).NetConn().Close()
			}
		}, nil, func(t *testing.T, address string) {
			_, _ = io.Copy(io.Discard, open(t, address, firstHalf+secondHalf))
		}, 0},
		"part of a head, returned late": {answerNothing, func(l net.Listener) net.Listener {
			return &lateListener{l, 0, 400 * time.Millisecond}
		}, func(t *testing.T, address string) {
			c := open(t, address, "")
			time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(c, firstHalf) })
		}, 1500 * time.Millisecond},
		"head that arrives byte by byte": {answerNothing, nil, func(t *testing.T, address string) {
			c := open(t, address, "G")
			ticker := time.NewTicker(300 * time.Millisecond)
			t.Cleanup(ticker.Stop)
			go func() {
				for range ticker.C {
					if _, err := io.WriteString(c, "E"); err != nil {
						return
					}
				}
			}()
		}, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s, address := serve(g, c.handler, c.wrap)
			c.use(t, address)
			time.Sleep(10 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			began := time.Now()
			g.Expect(s.Drain(ctx)).To(Succeed())
			g.Expect(time.Since(began)).To(BeNumerically("<", c.bound+slack))
		})
	}
}

// slowAccept returns connections late.
type slowAccept struct{ net.Listener }

func (l slowAccept) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(300 * time.Millisecond)
	return c, err
}

// TestAcceptedWhileDraining guards against requests on connections that were accepted before the
// listener closed and that the drain doesn't know yet.
func TestAcceptedWhileDraining(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(g, answerNothing, func(l net.Listener) net.Listener { return slowAccept{l} })
	c := open(t, address, firstHalf+secondHalf)
	time.Sleep(50 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
}

// TestRequestAfterAnswer guards against connections that are closed right after an answer that
// let the caller keep them.
func TestRequestAfterAnswer(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(g, func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) }, nil)
	c := open(t, address, firstHalf+secondHalf)
	time.Sleep(100 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	reader := bufio.NewReader(c)
	for closed := false; !closed; {
		resp, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		if closed = resp.Close; !closed {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, firstHalf+secondHalf)
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	g.Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
}

// TestEarlyAnswerEnds guards against an answer to an unread upload that ends by a reset, which may
// take the answer with it.
func TestEarlyAnswerEnds(t *testing.T) {
	g := NewWithT(t)
	_, address := serve(g, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, nil)
	began := time.Now()
	c := open(t, address, "POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 20000))
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(HavePrefix("HTTP/1.1 503 "))
	g.Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
}

// TestContinueIsNoAnswer guards against a connection that ends without a trace after the server
// has asked for the body.
func TestContinueIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	unanswered := make(chan drainer.Unanswered, 1)
	s, address := serve(g, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, nil,
		drainer.OnUnanswered(func(u drainer.Unanswered) { unanswered <- u }))
	c := open(t, address, "POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 7\r\nExpect: 100-continue\r\n\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(HavePrefix("HTTP/1.1 100 "))
	g.Expect(s.Close()).To(Succeed())
	g.Eventually(unanswered, time.Second).Should(Receive())
}

// TestOverdueHeadIsIdle guards against connections that a few bytes, of no request, exempt from
// the limit of idle time.
func TestOverdueHeadIsIdle(t *testing.T) {
	g := NewWithT(t)
	idle := make(chan net.Conn, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := drainer.New(http.HandlerFunc(answerNothing), drainer.OnState(func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- c
		}
	}))
	s.ReadHeaderTimeout = time.Second
	go func() { _ = s.Serve(l) }()
	address := l.Addr().String()
	c := open(t, address, firstHalf+secondHalf)
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	_, err = fmt.Fprint(c, "\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(1200 * time.Millisecond)
	drainer.CloseIdle(<-idle)
	g.Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	_, err = reader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
}
