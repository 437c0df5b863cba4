package attacher

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"quetzalhub/reporter"
)

// TestServerErrorsAreLogged guards against requests that end without an answer and without a line
// in the log, since their handler has panicked.
func TestServerErrorsAreLogged(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	n := &Node{}
	n.parts.Reporter = reporter.New(&out, "node-1", log.InfoLevel)
	s := n.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	_, err = http.Get("http://" + l.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Drain(context.Background())).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.parts.Reporter.Run(ctx)
	g.Expect(out.String()).To(ContainSubstring("server_error"))
	g.Expect(out.String()).To(ContainSubstring("broken"))
	g.Expect(out.String()).To(ContainSubstring("connection_unanswered"))
}
