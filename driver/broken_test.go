package driver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/driver"
	"quetzalhub/standin/breaker"
)

// TestBrokenAnswers guards against answers with invalid heads that count as those of an upstream.
func TestBrokenAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		head   string
		broken bool
	}{
		"sound":                  {ok, false},
		"all token characters":   {ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n", false},
		"status 000":             {"HTTP/1.1 000 Odd\r\n", true},
		"blank in a name":        {ok + "X Odd: 1\r\n", true},
		"blank after the length": {ok + "Content-Length : 1\r\n", true},
		"control byte in a name": {ok + "X\x01Odd: 1\r\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body := fmt.Sprintf(`{"id":%q}`, r.Header.Get("X-Id"))
				if strings.HasPrefix(r.URL.Path, "/control/") {
					body = `{"s-1-0":1}`
				}
				breaker.Answer{Text: c.head + "\r\n" + body, Ending: breaker.Close}.ServeHTTP(w, r)
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			results := driver.Run(t.Context(), driver.Scenario{
				Seed: 1, Duration: 100 * time.Millisecond, Timeout: time.Second,
				Streams: []driver.Stream{{Name: "s", Rate: 200, Targets: []string{address}, Method: http.MethodGet, Path: "/"}},
			})
			g.Expect(results).To(HaveLen(1))
			g.Expect(results[0].Sent).To(BeNumerically(">", 0))
			runs, err := driver.FetchRunCounts(context.Background(), []string{address})
			if c.broken {
				g.Expect(results[0].Failed).To(HaveKeyWithValue("cut", results[0].Sent))
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(results[0].Answered).To(Equal(results[0].Sent))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(runs).To(Equal(map[string]int{"s-1-0": 1}))
		})
	}
}
