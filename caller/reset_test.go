package caller_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/caller"
	"quetzalhub/schema"
	"quetzalhub/standin/breaker"
)

func newCaller() *caller.Caller {
	c := caller.New("node-1", firstState{}, nil, nil)
	c.Attach(emptyFleet{})
	return c
}

// TestResetAnswers guards against a call that counts as answered although the connection was reset
// while its request was written. net/http may or may not get the reset, so that it is sent
// several times.
func TestResetAnswers(t *testing.T) {
	const repeats = 20
	g := NewWithT(t)
	server := httptest.NewServer(breaker.Answer{Text: "HTTP/1.1 200 OK\r\n\r\n", Ending: breaker.Reset, Reads: 64 << 10})
	defer server.Close()
	large := &schema.AdoptRequest{Books: []*schema.Book{{Workspace: strings.Repeat("x", 32<<20)}}}
	for range repeats {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		g.Expect(newCaller().Adopt(ctx, strings.TrimPrefix(server.URL, "http://"), large)).NotTo(Succeed())
		cancel()
	}
}
