package verifier_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/standin/breaker"
	"quetzalhub/verifier"
)

// TestHeads guards against answers with invalid heads that are returned, and sound ones that are
// not.
func TestHeads(t *testing.T) {
	const whole = "Content-Length: 5\r\n\r\nwhole"
	cases := map[string]struct {
		answer string
		broken bool
	}{
		"sound":                     {ok + whole, false},
		"sound, until the end":      {ok + "\r\nwhole", false},
		"sound failure":             {"HTTP/1.1 599 Odd\r\n" + whole, false},
		"sound after an early hint": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + whole, false},
		"all characters of tokens":  {ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + whole, false},
		"value on two lines":        {ok + "X-Odd: 1\r\n 2\r\n" + whole, false},
		"status 000":                {"HTTP/1.1 000 Odd\r\n" + whole, true},
		"status 099":                {"HTTP/1.1 099 Odd\r\n" + whole, true},
		"status 600":                {"HTTP/1.1 600 Odd\r\n" + whole, true},
		"status 101":                {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\nwhole", true},
		"blank in a name":           {ok + "X Odd: 1\r\n" + whole, true},
		"blank after a name":        {ok + "X-Odd : 1\r\n" + whole, true},
		"blank after the length":    {ok + "Content-Length : 5\r\n\r\nwhole and more", true},
		"tab in a name":             {ok + "X\tOdd: 1\r\n" + whole, true},
		"control byte in a name":    {ok + "X\x01Odd: 1\r\n" + whole, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text, err := call(t, breaker.Answer{Text: c.answer, Ending: breaker.Close}, 3)
			if c.broken {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal("whole"))
		})
	}
}

// TestConnectionAfterInvalidHead guards against another request on a connection after an invalid
// head. Where the answer ends is not known.
func TestConnectionAfterInvalidHead(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(breaker.Answer{Text: ok + "X Odd: 1\r\nContent-Length: 0\r\n\r\n", Ending: breaker.Stay})
	defer server.Close()
	transport := verifier.NewTransport(&http.Transport{})
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = transport.RoundTrip(req)
		g.Expect(err).To(MatchError(ContainSubstring("field name")))
		cancel()
	}
}
