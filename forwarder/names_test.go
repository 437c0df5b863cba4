package forwarder_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/standin/breaker"
)

// TestOddNames guards against an answer with a field whose name is no token that reaches a caller, as
// it is or with a body that the upstream didn't mean.
func TestOddNames(t *testing.T) {
	const ok, whole = "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n\r\nwhole"
	cases := map[string]struct {
		answer string
		ending breaker.Ending
		status int
	}{
		"tokens":                   {ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + whole, breaker.Stay, http.StatusOK},
		"tokens, until the end":    {ok + "X-Odd: 1\r\n\r\nwhole", breaker.Close, http.StatusOK},
		"blank within":             {ok + "X Odd: 1\r\n" + whole, breaker.Stay, http.StatusBadGateway},
		"blank at the end":         {ok + "X-Odd : 1\r\n" + whole, breaker.Stay, http.StatusBadGateway},
		"blank in a failure":       {"HTTP/1.1 500 Internal Server Error\r\nX Odd: 1\r\n" + whole, breaker.Stay, http.StatusBadGateway},
		"blank after the length":   {ok + "Content-Length : 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n" + whole, breaker.Close, http.StatusBadGateway},
		"blank after the coding":   {ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", breaker.Close, http.StatusBadGateway},
		"blank, until the end":     {ok + "X Odd: 1\r\n\r\nwhole", breaker.Close, http.StatusBadGateway},
		"tab":                      {ok + "X-Odd\t: 1\r\n" + whole, breaker.Stay, http.StatusBadGateway},
		"control byte":             {ok + "X-\x01Odd: 1\r\n" + whole, breaker.Stay, http.StatusBadGateway},
		"zero byte":                {ok + "X-Odd\x00: 1\r\n" + whole, breaker.Stay, http.StatusBadGateway},
		"control byte, the length": {ok + "Content-Length\x0b: 5\r\n\r\nwhole", breaker.Close, http.StatusBadGateway},
	}
	for name, c := range cases {
		for _, path := range []string{"/files/1", "/pass/1"} {
			t.Run(name+" to "+path, func(t *testing.T) {
				g := NewWithT(t)
				m := newMesh(t)
				m.addRoute("files", false)
				m.addRoute("pass", false)
				m.addNode("pass", passOn)
				m.addNode("files", func(string) http.Handler { return breaker.Answer{Text: c.answer, Ending: c.ending} })
				m.join()
				resp := m.request(http.MethodGet, path, "odd", "")
				g.Expect(resp.status).To(Equal(c.status), resp.body)
				g.Expect(resp.complete).To(BeTrue())
				if c.status == http.StatusOK {
					g.Expect(resp.body).To(Equal("whole"))
					return
				}
				g.Expect(resp.body).To(ContainSubstring(`"code":3003`))
			})
		}
	}
}
