package forwarder_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/accountant"
)

// keptBytes is the part of a body that nodes keep in these tests.
const keptBytes = 4 << 10

// digestBody responds with the digest of a body and counts the bodies that were read whole.
func digestBody(runs *runCounter) func(string) http.Handler {
	return func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h := sha256.New()
			if _, err := io.Copy(h, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			runs.add(r.Header.Get("X-Id"))
			_, _ = io.WriteString(w, hex.EncodeToString(h.Sum(nil)))
		})
	}
}

func digestOf(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}

// newBodyMesh returns two nodes beside upstreams that digest bodies.
func newBodyMesh(t *testing.T, runs *runCounter) *mesh {
	m := newMesh(t)
	m.keptBytes = keptBytes
	m.addRoute("files", false)
	for range 2 {
		m.addNode("files", digestBody(runs))
	}
	m.join()
	return m
}

// sendBody sends a body to the first node, in chunks if chunked is true.
func (m *mesh) sendBody(id, body string, chunked bool) response {
	var reader io.Reader = strings.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader)
	}
	req, err := http.NewRequest(http.MethodPost, m.nodes[0].callers.URL+"/files/1", reader)
	if err != nil {
		m.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("X-Id", id)
	return send(req)
}

// TestBodiesArriveWhole guards against bodies that are changed, cut or joined where the part
// that is kept ends.
func TestBodiesArriveWhole(t *testing.T) {
	g := NewWithT(t)
	runs := newRunCounter()
	m := newBodyMesh(t, runs)
	for _, chunked := range []bool{false, true} {
		for _, length := range []int{0, 1, 1023, 1024, 1025, keptBytes - 1, keptBytes, keptBytes + 1, 2*keptBytes + 1, 300_000, 1 << 20} {
			id := fmt.Sprint(chunked, " ", length)
			body := strings.Repeat(id+"|", length/len(id)+1)[:length]
			resp := m.sendBody(id, body, chunked)
			g.Expect(resp.status).To(Equal(http.StatusOK), id)
			g.Expect(resp.body).To(Equal(digestOf(body)), id)
			g.Expect(runs.count(id)).To(Equal(1), id)
		}
	}
}

// TestLongBodyIsSentElsewhere guards against losing a request whose body is not kept, when the
// first node refuses it before the body is sent.
func TestLongBodyIsSentElsewhere(t *testing.T) {
	g := NewWithT(t)
	runs := newRunCounter()
	m := newBodyMesh(t, runs)
	m.nodes[1].draining = true
	body := strings.Repeat("x", 500_000)
	for i := range 20 {
		id := fmt.Sprint(i)
		resp := m.sendBody(id, body, i%2 == 0)
		g.Expect(resp.status).To(Equal(http.StatusOK), resp.body)
		g.Expect(resp.body).To(Equal(digestOf(body)))
		g.Expect(runs.count(id)).To(Equal(1))
	}
}

// TestBadBodies checks the outcome of requests whose bodies are too large, break off, come too
// late or have no room. Those with the outcome "not run" must not have run.
func TestBadBodies(t *testing.T) {
	const long, tooLong = 64 << 10, 1<<20 + 1
	cases := map[string]struct {
		// head is added to the request, and body sent after it.
		head, body string
		account    int64
		// closeWrite ends the body early.
		closeWrite bool
		status     string
		code       string
	}{
		"too large, length known":      {head: fmt.Sprintf("Content-Length: %d", tooLong), body: "x", status: "413", code: "1008"},
		"too large, in chunks":         {head: "Transfer-Encoding: chunked", body: strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 20), status: "400", code: "3008"},
		"short, breaks off":            {head: "Content-Length: 100", body: "x", closeWrite: true, status: "400", code: "1009"},
		"short, comes late":            {head: "Content-Length: 100", body: "x", status: "408", code: "1017"},
		"long, comes late":             {head: fmt.Sprintf("Content-Length: %d", long), body: "x", status: "408", code: "1017"},
		"long, breaks off when sent":   {head: fmt.Sprintf("Content-Length: %d", long), body: strings.Repeat("x", long/2), closeWrite: true, status: "400", code: "3008"},
		"long, stops when sent":        {head: fmt.Sprintf("Content-Length: %d", long), body: strings.Repeat("x", long/2), status: "504", code: "3002"},
		"malformed chunk":              {head: "Transfer-Encoding: chunked", body: "zz\r\n", status: "400", code: "1009"},
		"malformed chunk after a part": {head: "Transfer-Encoding: chunked", body: "8000\r\n" + strings.Repeat("x", 1<<15) + "\r\nzz\r\n", status: "400", code: "3008"},
		"no room":                      {head: "Content-Length: 100", body: "x", account: 64, status: "503", code: "1016"},
		"no room for a long one":       {head: fmt.Sprintf("Content-Length: %d", long), body: strings.Repeat("x", long), account: 32 << 10, status: "503", code: "1016"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			runs := newRunCounter()
			m := newMesh(t)
			m.keptBytes, m.timeout = keptBytes, 700*time.Millisecond
			if c.account > 0 {
				m.account = func() *accountant.Accountant { return accountant.New(c.account) }
			}
			m.addRoute("files", false)
			m.addNode("files", digestBody(runs))
			m.join()
			conn, err := net.Dial("tcp", m.nodes[0].callers.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = io.WriteString(conn, "POST /files/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Id: r\r\nAuthorization: Bearer "+secret+"\r\n"+c.head+"\r\n\r\n"+c.body)
			g.Expect(err).NotTo(HaveOccurred())
			if c.closeWrite {
				g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			}
			answer, _ := io.ReadAll(conn)
			g.Expect(string(answer)).To(HavePrefix("HTTP/1.1 " + c.status))
			g.Expect(string(answer)).To(ContainSubstring(`"code":` + c.code + `,`))
			g.Expect(runs.total()).To(BeZero())
		})
	}
}

// TestConnectionAfterSlowBody guards against a deadline for reading a body that ends a later
// request on the same connection.
func TestConnectionAfterSlowBody(t *testing.T) {
	g := NewWithT(t)
	runs := newRunCounter()
	m := newMesh(t)
	m.keptBytes, m.timeout = keptBytes, 500*time.Millisecond
	m.addRoute("files", false)
	m.addNode("files", digestBody(runs))
	m.join()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i, length := range []int{10, 100_000, 10, 100_000} {
		body := strings.Repeat("x", length)
		req, err := http.NewRequest(http.MethodPost, m.nodes[0].callers.URL+"/files/1", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+secret)
		req.Header.Set("X-Id", fmt.Sprint(i))
		resp, err := client.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(string(text)).To(Equal(digestOf(body)))
		// Longer than the deadline of the request before.
		time.Sleep(600 * time.Millisecond)
	}
}

// TestAccountIsEmptyAfterRequests guards against memory that stays on the account after requests
// of every outcome, until all are refused.
func TestAccountIsEmptyAfterRequests(t *testing.T) {
	g := NewWithT(t)
	runs := newRunCounter()
	m := newMesh(t)
	m.keptBytes, m.timeout = keptBytes, 500*time.Millisecond
	account := accountant.New(1 << 20)
	m.account = func() *accountant.Accountant { return account }
	m.addRoute("files", false)
	for range 2 {
		m.addNode("files", digestBody(runs))
	}
	m.join()
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			switch i % 3 {
			case 0:
				m.sendBody(fmt.Sprint(i), strings.Repeat("x", i*1000), i%2 == 0)
			case 1:
				m.sendBody(fmt.Sprint(i), strings.Repeat("x", 1<<20+1), i%2 == 0)
			case 2:
				m.breakOff(i * 500)
			}
		})
	}
	group.Wait()
	g.Eventually(func() int64 { return account.Usage().Used }, 5*time.Second).Should(BeZero())
	g.Expect(m.sendBody("last", "x", false).status).To(Equal(http.StatusOK))
}

// breakOff closes the connection of a request after a part of its body.
func (m *mesh) breakOff(sent int) {
	conn, err := net.Dial("tcp", m.nodes[0].callers.Listener.Addr().String())
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /files/1 HTTP/1.1\r\nHost: a\r\nX-Id: r\r\nAuthorization: Bearer "+secret+"\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", sent))
	time.Sleep(20 * time.Millisecond)
}
