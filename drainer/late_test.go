package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/drainer"
)

// lateListener accepts connections whose bytes are read late, as by a busy process.
type lateListener struct {
	net.Listener
	before, after time.Duration
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{c.(*net.TCPConn), l.before, l.after}, nil
}

// lateConn is a connection of a process that does not run for some time before it reads what
// has arrived, and after it.
type lateConn struct {
	*net.TCPConn
	before, after time.Duration
}

// NetConn returns the connection below this one.
func (c *lateConn) NetConn() net.Conn { return c.TCPConn }

func (c *lateConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	}) == nil {
		time.Sleep(c.before)
	}
	n, err := c.TCPConn.Read(p)
	time.Sleep(c.after)
	return n, err
}

// TestRequestsReadLateWhileDraining guards against whole requests that arrive shortly after a
// stopping server has closed its listener, are read late because the process is busy, and get
// neither an answer nor a refusal.
func TestRequestsReadLateWhileDraining(t *testing.T) {
	const accepted, sent = 100 * time.Millisecond, 20 * time.Millisecond
	cases := map[string]struct{ before, after time.Duration }{
		"read at once":   {0, 0},
		"read late":      {300 * time.Millisecond, 0},
		"read very late": {1500 * time.Millisecond, 0},
		"handled late":   {0, 300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			s := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = s.Serve(&lateListener{l, c.before, c.after}) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			// The server accepts the connection before it drains.
			time.Sleep(accepted)
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(context.Background()) }()
			time.Sleep(sent)
			_, err = fmt.Fprint(conn, firstHalf+secondHalf)
			g.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "after %v", time.Since(began))
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(resp.Close).To(BeTrue())
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
		})
	}
}
