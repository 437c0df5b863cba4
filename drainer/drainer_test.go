package drainer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/drainer"
)

// pipeListener accepts pipes, which work on a paused clock.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// client is a connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (l *pipeListener) dial() *client {
	server, conn := net.Pipe()
	l.conns <- server
	return &client{conn, bufio.NewReader(conn)}
}

// status reads an answer and returns its status, or zero if the connection ends without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

const (
	firstHalf  = "GET /look HTTP/1.1\r\nHo"
	secondHalf = "st: hall.example\r\n\r\n"
)

// fixture is a server with a listener of pipes.
type fixture struct {
	*drainer.Server
	listener   *pipeListener
	unanswered []drainer.Unanswered
	group      sync.WaitGroup
}

// newFixture returns a server whose answers begin once the request is read, and take a time.
func newFixture(work time.Duration) *fixture {
	f := &fixture{listener: newPipeListener()}
	f.Server = drainer.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(work)
	}), drainer.OnUnanswered(func(u drainer.Unanswered) { f.unanswered = append(f.unanswered, u) }))
	f.group.Go(func() { _ = f.Serve(f.listener) })
	return f
}

// TestUnanswered guards against connections that a server ends without an answer and without
// a trace.
func TestUnanswered(t *testing.T) {
	const (
		age    = 2 * time.Second
		upload = "POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 7\r\n\r\n"
	)
	cases := map[string]struct {
		// sent is what the client sends before the server closes all connections, and leaves
		// is true if the client closes its connection before that.
		sent   string
		leaves bool
		read   int
	}{
		"nothing sent":              {"", false, 0},
		"part of a head":            {firstHalf, false, len(firstHalf)},
		"body outstanding":          {upload, false, len(upload)},
		"part of a head, then gone": {firstHalf, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFixture(0)
				client := f.listener.dial()
				_, err := fmt.Fprint(client, c.sent)
				g.Expect(err).NotTo(HaveOccurred())
				if c.leaves {
					g.Expect(client.Close()).To(Succeed())
				}
				time.Sleep(age)
				synctest.Wait()
				g.Expect(f.Close()).To(Succeed())
				f.group.Wait()
				if c.read == 0 {
					g.Expect(f.unanswered).To(BeEmpty())
					return
				}
				g.Expect(f.unanswered).To(HaveLen(1))
				g.Expect(f.unanswered[0].Read).To(Equal(c.read))
				g.Expect(f.unanswered[0].Age).To(Equal(age))
			})
		})
	}
}

// TestAnswered guards against reports of connections whose requests were answered.
func TestAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(0)
		client := f.listener.dial()
		for range 2 {
			_, err := fmt.Fprint(client, firstHalf+secondHalf)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(client.status()).To(Equal(http.StatusOK))
		}
		synctest.Wait()
		g.Expect(f.Drain(context.Background())).To(Succeed())
		f.group.Wait()
		g.Expect(f.unanswered).To(BeEmpty())
	})
}
