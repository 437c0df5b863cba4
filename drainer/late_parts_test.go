package drainer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/drainer"
)

// TestHeadsInPartsReadLateWhileDraining guards against requests whose second part has arrived,
// but is not read yet by a busy process, when a stopping server gives up waiting for it.
func TestHeadsInPartsReadLateWhileDraining(t *testing.T) {
	for name, late := range map[string]time.Duration{"read at once": 0, "read late": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			s := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = s.Serve(&lateListener{l, late, 0}) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprint(conn, firstHalf)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(late + 100*time.Millisecond)
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(context.Background()) }()
			time.Sleep(300 * time.Millisecond)
			_, err = fmt.Fprint(conn, secondHalf)
			g.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "after %v", time.Since(began))
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
		})
	}
}

// TestUnfinishedHeadsWhileDraining guards against the answer 400, after which no caller tries
// again, to a head whose rest has not come by the end of a drain.
func TestUnfinishedHeadsWhileDraining(t *testing.T) {
	for name, text := range map[string]string{
		"in the first line": "GET /lo", "in a name": "GET /look HTTP/1.1\r\nHo", "in a value": "GET /look HTTP/1.1\r\nHost: ha", "between lines": "GET /look HTTP/1.1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			s := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = s.Serve(l) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprint(conn, text)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			go func() { _ = s.Drain(context.Background()) }()
			data, err := io.ReadAll(conn)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(data)).NotTo(ContainSubstring("400 Bad Request"))
		})
	}
}
