package transporter_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/transporter"
)

// TestOddNames guards against an answer with a field whose name is no token. Such a field is not the
// one that it resembles: a length, for one, that isn't read as a length makes all that follows on
// the connection part of the body.
func TestOddNames(t *testing.T) {
	const ok, whole = "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n\r\nwhole"
	heads := map[string]string{
		"blank within":               ok + "X Odd: 1\r\n" + whole,
		"blank at the end":           ok + "X-Odd : 1\r\n" + whole,
		"blank at the begin":         ok + " X-Odd: 1\r\n" + whole,
		"only a blank":               ok + " : 1\r\n" + whole,
		"blank in the last field":    ok + "Content-Length: 5\r\nX Odd: 1\r\n\r\nwhole",
		"blank and a status":         "HTTP/1.1 404 Not Found\r\nX Odd: 1\r\n" + whole,
		"blank after the length":     ok + "Content-Length : 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n" + whole,
		"blank after the coding":     ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"blank beside a length":      ok + "Content-Length : 3\r\n" + whole,
		"blank in an early hint":     "HTTP/1.1 103 Early Hints\r\nX Link: </a>\r\n\r\n" + ok + whole,
		"blank after an early hint":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "X Odd: 1\r\n" + whole,
		"blank without content":      "HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n",
		"tab":                        ok + "X\tOdd: 1\r\n" + whole,
		"tab at the end":             ok + "X-Odd\t: 1\r\n" + whole,
		"tab at the begin":           ok + "\tX-Odd: 1\r\n" + whole,
		"control byte":               ok + "X-\x01Odd: 1\r\n" + whole,
		"control byte in the length": ok + "Content-Length\x0b: 5\r\n\r\nwhole",
		"zero byte":                  ok + "X-Odd\x00: 1\r\n" + whole,
		"carriage return":            ok + "X-\rOdd: 1\r\n" + whole,
		"delete":                     ok + "X-\x7fOdd: 1\r\n" + whole,
		"no-break space":             ok + "X-\u00a0Odd: 1\r\n" + whole,
		"not a token":                ok + "X(Odd): 1\r\n" + whole,
		"no name":                    ok + ": 1\r\n" + whole,
		"no colon":                   ok + "X-Odd\r\n" + whole,
	}
	sound := map[string]string{
		"all characters of tokens": ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + whole,
		"one character":            ok + "x: 1\r\n" + whole,
		"lower case":               ok + "x-odd: 1\r\ncontent-length: 5\r\n\r\nwhole",
		"blanks around the value":  ok + "X-Odd: \t 1 2 \t\r\n" + whole,
		"no value":                 ok + "X-Odd:\r\n" + whole,
		"colon in the value":       ok + "X-Odd: a : b\r\n" + whole,
		"value on two lines":       ok + "X-Odd: 1\r\n 2\r\n" + whole,
	}
	requests := map[string]func(*http.Request){
		http.MethodGet: func(*http.Request) {},
		"POST that waits": func(req *http.Request) {
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader("gloves")), 6
			req.Header.Set("Expect", "100-continue")
		},
	}
	check := func(t *testing.T, kind, answer string, broken bool) {
		g := NewWithT(t)
		s := newRawServer(t, answer)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		method, _, _ := strings.Cut(kind, " ")
		req, err := http.NewRequestWithContext(ctx, method, "http://"+s.listener.Addr().String()+"/orders", nil)
		g.Expect(err).NotTo(HaveOccurred())
		requests[kind](req)
		resp, err := transporter.New(nil).RoundTrip(req)
		if broken {
			g.Expect(err).To(HaveOccurred())
			g.Expect(transporter.Sent(err)).To(BeTrue())
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the request lasted until its deadline")
			return
		}
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(Equal("whole"))
	}
	for kind := range requests {
		for name, answer := range heads {
			t.Run(kind+", broken, "+name, func(t *testing.T) { check(t, kind, answer, true) })
		}
		for name, answer := range sound {
			t.Run(kind+", sound, "+name, func(t *testing.T) { check(t, kind, answer, false) })
		}
	}
}
