package main

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/standin/breaker"
)

// TestBrokenAnswers guards against answers with invalid heads that are shown as those of a node.
func TestBrokenAnswers(t *testing.T) {
	const ok, whole = "HTTP/1.1 200 OK\r\n", "Content-Length: 7\r\n\r\n{\"a\":7}"
	cases := map[string]struct {
		answer string
		broken bool
	}{
		"sound":                  {ok + whole, false},
		"all token characters":   {ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + whole, false},
		"until the end":          {ok + "\r\n{\"a\":7}", false},
		"status 000":             {"HTTP/1.1 000 Odd\r\n" + whole, true},
		"status 600":             {"HTTP/1.1 600 Odd\r\n" + whole, true},
		"blank in a name":        {ok + "X Odd: 1\r\n" + whole, true},
		"blank after the length": {ok + "Content-Length : 1\r\n\r\n{\"a\":7}", true},
		"control byte in a name": {ok + "X\x01Odd: 1\r\n" + whole, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(breaker.Answer{Text: c.answer, Ending: breaker.Close})
			defer server.Close()
			o := &options{}
			g.Expect(o.connect()).To(Succeed())
			document := map[string]int{}
			err := o.getJSON(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/vars", &document)
			if c.broken {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(document).To(Equal(map[string]int{"a": 7}))
		})
	}
}
