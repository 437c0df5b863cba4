package storer_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/standin/breaker"
	"quetzalhub/storer"
)

// TestBrokenAnswers guards against answers with invalid heads that are taken for those of the
// platform.
func TestBrokenAnswers(t *testing.T) {
	// No other call may come on a connection that has carried an answer.
	const ok, whole = "HTTP/1.1 200 OK\r\n", "Connection: close\r\nETag: 7\r\nContent-Length: 5\r\n\r\nwhole"
	cases := map[string]struct {
		answer string
		broken bool
	}{
		"sound":                   {ok + whole, false},
		"all token characters":    {ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + whole, false},
		"until the end":           {ok + "ETag: 7\r\n\r\nwhole", false},
		"status 000":              {"HTTP/1.1 000 Odd\r\n" + whole, true},
		"status 101":              {"HTTP/1.1 101 Switching Protocols\r\n" + whole, true},
		"blank in a name":         {ok + "X Odd: 1\r\n" + whole, true},
		"blank after the version": {ok + "ETag : 7\r\nContent-Length: 5\r\n\r\nwhole", true},
		"blank after the length":  {ok + "ETag: 7\r\nContent-Length : 5\r\n\r\nwhole and more", true},
		"control byte in a name":  {ok + "X\x01Odd: 1\r\n" + whole, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(breaker.Answer{Text: c.answer, Ending: breaker.Close})
			defer server.Close()
			store := storer.NewHTTP(strings.TrimPrefix(server.URL, "http://"), time.Second)
			object, err := store.Read(t.Context(), "main")
			version, writeErr := store.Write(t.Context(), "main", []byte("new"), storer.Absent)
			if c.broken {
				g.Expect(err).To(HaveOccurred())
				g.Expect(writeErr).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(object).To(Equal(storer.Object{Data: []byte("whole"), Version: "7"}))
			g.Expect(writeErr).NotTo(HaveOccurred())
			g.Expect(version).To(Equal(storer.Version("7")))
		})
	}
}
