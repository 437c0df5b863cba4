package caller_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/schema"
	"quetzalhub/standin/breaker"
)

// TestBrokenAnswers guards against answers with invalid heads that are taken for those of a node.
func TestBrokenAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	// The progress of an attempt is "done".
	const done = "Content-Type: application/protobuf\r\nContent-Length: 2\r\n\r\n\x08\x03"
	cases := map[string]struct {
		answer string
		broken bool
	}{
		"sound":                  {ok + done, false},
		"all token characters":   {ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + done, false},
		"until the end":          {ok + "\r\n\x08\x03", false},
		"status 000":             {"HTTP/1.1 000 Odd\r\n" + done, true},
		"status 101":             {"HTTP/1.1 101 Switching Protocols\r\n" + done, true},
		"blank in a name":        {ok + "X Odd: 1\r\n" + done, true},
		"blank after a name":     {ok + "X-Odd : 1\r\n" + done, true},
		"blank after the length": {ok + "Content-Length : 0\r\n\r\n\x08\x03", true},
		"control byte in a name": {ok + "X\x01Odd: 1\r\n" + done, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(breaker.Answer{Text: c.answer, Ending: breaker.Close})
			defer server.Close()
			progress, err := newCaller().Check(t.Context(), strings.TrimPrefix(server.URL, "http://"), &schema.CheckRequest{})
			if c.broken {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(progress).To(Equal(schema.Progress_PROGRESS_DONE))
		})
	}
}
