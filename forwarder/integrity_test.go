package forwarder_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWholeAnswers sends many requests at once to upstreams that delay, cut and
// stream their answers, over links that are cut. Every answer called whole is
// the whole answer to its own request.
func TestWholeAnswers(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.route("files", true)
	m.add("front", echo(newLedger()))
	for range 3 {
		m.newLink(m.add("files", unreliable))
	}
	m.join()
	stop := make(chan struct{})
	var cutting sync.WaitGroup
	cutting.Go(func() { cutLinks(m, stop) })
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, short := 0, 0
	for i := range 1500 {
		group.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			a := m.request("GET", "/files/1", id, "")
			mu.Lock()
			defer mu.Unlock()
			if a.status != http.StatusOK || !a.whole {
				short++
				return
			}
			whole++
			g.Expect(a.body).To(Equal(expected(id)))
		})
		time.Sleep(200 * time.Microsecond)
	}
	group.Wait()
	close(stop)
	cutting.Wait()
	t.Logf("whole %d, refused or visibly cut %d", whole, short)
	g.Expect(whole).To(BeNumerically(">", 0))
}

// expected returns the whole answer to a request.
func expected(id string) string { return strings.Repeat(id+",", 1+len(id)*40) }

// unreliable delays, streams or cuts answers, by the id of the request.
func unreliable(string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		body := expected(id)
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		switch len(id) + int(id[len(id)-1])%5 {
		case 9, 10:
			// The declared length is not kept.
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body[:len(body)/2])
			panic(http.ErrAbortHandler)
		case 11, 12:
			// Streamed in pieces of unknown total length, then cut.
			_, _ = io.WriteString(w, body[:len(body)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, body)
		}
	})
}

// cutLinks cuts the links after a random number of bytes, now and then.
func cutLinks(m *mesh, stop chan struct{}) {
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
