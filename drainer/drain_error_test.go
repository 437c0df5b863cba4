package drainer_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/drainer"
)

// TestDrainWithoutConnections guards against a drain that reports requests as cut although it
// has ended well.
func TestDrainWithoutConnections(t *testing.T) {
	g := NewWithT(t)
	failed := 0
	const drains = 500
	for range drains {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		s := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		served := make(chan struct{})
		go func() { defer close(served); _ = s.Serve(l) }()
		conn, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
		if err := s.Drain(context.Background()); err != nil {
			failed++
			t.Log(err)
		}
		<-served
	}
	g.Expect(failed).To(BeZero(), "of %d", drains)
}
