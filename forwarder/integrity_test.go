package forwarder_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
)

// TestWholeAnswers guards against truncated or mixed-up responses that look
// complete. Many concurrent requests go to upstreams that delay, cut and stream
// their responses, over links that are cut. Every response received as complete
// must be the complete response to its own request.
func TestWholeAnswers(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.addRoute("files", true)
	m.addNode("front", echo(newRunCounter()))
	for range 3 {
		m.newLink(m.addNode("files", unreliableHandler))
	}
	m.join()
	stop := make(chan struct{})
	var cutter sync.WaitGroup
	cutter.Go(func() { cutLinksUntil(m, stop) })
	var group sync.WaitGroup
	var mu sync.Mutex
	complete, incomplete := 0, 0
	for i := range 1500 {
		group.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			resp := m.request("GET", "/files/1", id, "")
			mu.Lock()
			defer mu.Unlock()
			if resp.status != http.StatusOK || !resp.complete {
				incomplete++
				return
			}
			complete++
			g.Expect(resp.body).To(Equal(expected(id)))
		})
		time.Sleep(200 * time.Microsecond)
	}
	group.Wait()
	close(stop)
	cutter.Wait()
	t.Logf("complete %d, refused or visibly truncated %d", complete, incomplete)
	g.Expect(complete).To(BeNumerically(">", 0))
}

// expected returns the complete response to a request.
func expected(id string) string { return strings.Repeat(id+",", 1+len(id)*40) }

// unreliableHandler delays, streams or cuts responses, depending on the id of the
// request.
func unreliableHandler(string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		body := expected(id)
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		switch len(id) + int(id[len(id)-1])%5 {
		case 9, 10:
			// The body is shorter than the declared length.
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body[:len(body)/2])
			panic(http.ErrAbortHandler)
		case 11, 12:
			// The body is streamed without a declared length, then cut.
			_, _ = io.WriteString(w, body[:len(body)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, body)
		}
	})
}

// cutLinksUntil sets a new random byte limit on the links every 5 ms until stop
// is closed.
func cutLinksUntil(m *mesh, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(5, 5))
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, n := range m.nodes {
			if n.link != nil {
				n.link.set(-1, 2000+rng.IntN(20000), false)
			}
		}
	}
}

// repeatingHandler answers on hijacked connections. When a request arrives on a
// connection that has carried another one, it first sends that one's answer once more.
func repeatingHandler(header string) func(string) http.Handler {
	return func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			for previous := ""; err == nil; r, err = http.ReadRequest(buffer.Reader) {
				id := r.Header.Get("X-Id")
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", header, r.Header.Get(header), len(id), id)
				if _, err := io.WriteString(conn, previous+answer); err != nil {
					return
				}
				previous = answer
			}
		})
	}
}

// TestRepeatedAnswers guards against a second copy of an answer that arrives late, when
// its connection carries another request: the next caller would get it.
func TestRepeatedAnswers(t *testing.T) {
	for name, header := range map[string]string{"with the request": forwarder.HeaderRequest, "with the ticket": forwarder.HeaderTicket} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.addRoute("orders", false)
			m.addNode("orders", repeatingHandler(header))
			m.join()
			for i := range 50 {
				id := fmt.Sprint("id-", i)
				resp := m.request(http.MethodGet, "/orders/1", id, "")
				g.Expect(resp.status).To(Equal(http.StatusOK))
				g.Expect(resp.body).To(Equal(id))
			}
		})
	}
}

// TestAnswerCutInHead guards against a success with an empty or short body, framed as
// whole, for an answer whose head an upstream did not finish before it closed or reset the
// connection. The answer is cut after each of its bytes.
func TestAnswerCutInHead(t *testing.T) {
	const body = "the whole answer"
	cases := map[string]string{
		"with a length":       "HTTP/1.1 200 OK\r\nX-Answer: yes\r\nContent-Length: 16\r\n\r\n" + body,
		"in chunks":           "HTTP/1.1 200 OK\r\nX-Answer: yes\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n\r\n",
		"until the end":       "HTTP/1.1 200 OK\r\nX-Answer: yes\r\nConnection: close\r\n\r\n" + body,
		"informational first": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + body,
	}
	for name, answer := range cases {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				g := NewWithT(t)
				m := newMesh(t)
				m.addRoute("orders", false)
				m.addNode("orders", cuttingHandler(answer, reset))
				m.join()
				// An answer without a length is whole wherever its connection is closed.
				last := len(answer) - 1
				if name == "until the end" && !reset {
					last = len(answer) - len(body) - 1
				}
				for n := range last + 1 {
					resp := m.request(http.MethodPost, "/orders/1", fmt.Sprint(n), "")
					g.Expect(resp.status == http.StatusOK && resp.complete).To(BeFalse(), "cut after %d bytes: %q", n, answer[:n])
				}
				whole := m.request(http.MethodPost, "/orders/1", fmt.Sprint(len(answer)), "")
				g.Expect(whole.status).To(Equal(http.StatusOK))
				g.Expect(whole.body).To(Equal(body))
			})
		}
	}
}

// cuttingHandler sends as many bytes of an answer as the ID of the request states and
// ends the connection. It resets the connection only if it cuts the answer.
func cuttingHandler(answer string, reset bool) func(string) http.Handler {
	return func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(r.Header.Get("X-Id"))
			if err != nil {
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, answer[:n]); err != nil {
				return
			}
			if tcp, ok := conn.(*net.TCPConn); ok && reset && n < len(answer) {
				// The answer must arrive before the reset, which discards what is in transit.
				time.Sleep(2 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}
		})
	}
}
