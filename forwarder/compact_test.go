package forwarder_test

import (
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/forwarder"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// TestCompactHeaders guards against messages that do not survive a header: any byte may occur in
// them, and net/http rejects control characters and trims spaces.
func TestCompactHeaders(t *testing.T) {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	long := make([]byte, 4000)
	rng := rand.NewChaCha8([32]byte{1})
	_, _ = rng.Read(long)
	cases := map[string][]byte{
		"empty": nil, "all bytes": all, "random bytes": long, "spaces at the ends": []byte(" a "), "bytes that become spaces": {0xf6, 'a', 0xf6},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sent := &schema.Envelope{Request: request, Incarnation: 1 << 60, Left: durationpb.New(time.Second)}
			text := forwarder.EncodeCompact(sent)
			h := http.Header{"Quetzal-Envelope": {text}}
			var wire strings.Builder
			g.Expect(h.Write(&wire)).To(Succeed())
			g.Expect(wire.String()).To(Equal("Quetzal-Envelope: " + text + "\r\n"))
			for _, b := range []byte(text) {
				g.Expect(b).To(And(BeNumerically(">", ' '), Not(Equal(byte(0x7f)))))
			}
			received := &schema.Envelope{}
			g.Expect(forwarder.DecodeHeader(text, received)).To(BeTrue())
			g.Expect(proto.Equal(sent, received)).To(BeTrue())
		})
	}
}

// TestMalformedCompactHeaders guards against a node that ends, or that takes garbage for a call.
func TestMalformedCompactHeaders(t *testing.T) {
	for _, text := range []string{"==", "=\xff\xff\xff", "=" + strings.Repeat("=", 3), "=4"} {
		NewWithT(t).Expect(forwarder.DecodeHeader(text, &schema.Envelope{})).To(BeFalse(), "%q", text)
	}
}

// TestBytesOfCall bounds what a call and a refusal take between two nodes. Both forms must have
// the same effect, also beside a node of a release without compact headers.
func TestBytesOfCall(t *testing.T) {
	cases := map[string]struct {
		method, body       string
		unpacked, draining bool
		status             int
		bound              int64
	}{
		"call":                     {"PUT", "body", false, false, 200, 360},
		"call, earlier release":    {"PUT", "body", true, false, 200, 540},
		"GET":                      {"GET", "", false, false, 200, 330},
		"GET, earlier release":     {"GET", "", true, false, 200, 540},
		"GET with a body":          {"GET", "body", false, false, 200, 360},
		"POST without a body":      {"POST", "", false, false, 200, 360},
		"refusal":                  {"PUT", "body", false, true, 503, 340},
		"refusal, earlier release": {"PUT", "body", true, true, 503, 700},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.unpacked = c.unpacked
			m.addRoute("orders", false)
			m.addNode("entry", echo(newRunCounter()))
			n := m.addNode("orders", func(string) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
					body, _ := io.ReadAll(r.Body)
					_, _ = fmt.Fprintf(w, "%s%s%s%s", r.Method, r.URL, r.Header.Get("X-Id"), body)
				})
			})
			n.draining = c.draining
			l := m.newLink(n)
			m.join()
			m.request(c.method, "/orders/1", "first", c.body)
			before := l.passed.Load()
			const calls = 10
			for range calls {
				resp := m.request(c.method, "/orders/1", "x-1", c.body)
				g.Expect(resp.status).To(Equal(c.status))
				if c.status == http.StatusOK {
					g.Expect(resp.body).To(Equal(c.method + "/orders/1x-1" + c.body))
				}
			}
			each := (l.passed.Load() - before) / calls
			t.Log(each, "bytes")
			g.Expect(each).To(BeNumerically("<=", c.bound))
		})
	}
}

// TestEndpointOfReport guards against an upstream that is taken for another instance, and against
// a departure or a rate limit that other nodes forget.
func TestEndpointOfReport(t *testing.T) {
	known := &schema.Member{Endpoints: []*schema.Endpoint{{Service: "orders", Instance: &schema.Instance{Id: "i-1", Born: 5}}}}
	endpoint := func(phase schema.Phase, id string, born int64, rate float64) *schema.Endpoint {
		return &schema.Endpoint{Service: "orders", Phase: phase, Active: 3, Rate: rate, Instance: &schema.Instance{Id: id, Born: born}}
	}
	const ready, draining = schema.Phase_PHASE_READY, schema.Phase_PHASE_DRAINING
	cases := map[string]struct {
		sent *schema.Endpoint
		id   string
	}{
		"the known instance":    {endpoint(ready, "i-1", 5, 0), "i-1"},
		"another instance":      {endpoint(ready, "i-2", 6, 0), ""},
		"another one, limited":  {endpoint(ready, "i-2", 6, 10), "i-2"},
		"another one, draining": {endpoint(draining, "i-2", 6, 0), "i-2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			received := proto.CloneOf(c.sent)
			forwarder.ShortenEndpoint(received)
			forwarder.RestoreEndpoint(received, "orders", known)
			g.Expect(received.GetInstance().GetId()).To(Equal(c.id))
			g.Expect(received.GetService()).To(Equal("orders"))
			g.Expect(received.GetActive()).To(BeEquivalentTo(3))
		})
	}
}

// TestReturnToEarlierRelease guards against requests with an unknown outcome while a node is
// replaced by one of an earlier release: it can't read the envelope of a call, which has not run.
func TestReturnToEarlierRelease(t *testing.T) {
	cases := map[string]struct {
		nodes, status int
	}{
		"the only node":    {1, http.StatusServiceUnavailable},
		"one of two nodes": {2, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.addRoute("orders", false)
			m.addNode("entry", echo(newRunCounter()))
			runs := newRunCounter()
			for range c.nodes {
				m.addNode("orders", echo(runs))
			}
			replaced := m.nodes[1].peers.Config
			relay := replaced.Handler
			replaced.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.Header.Get("Quetzal-Envelope"), "=") {
					refuser.New(new(expvar.Map)).Refuse(w, refuser.BadRequest, refuser.Detail{Note: "The envelope header is missing or malformed."})
					return
				}
				relay.ServeHTTP(w, r)
			})
			m.join()
			for i := range 20 {
				resp := m.request(http.MethodPost, "/orders/1", fmt.Sprint("order-", i), "")
				g.Expect(resp.status).To(Equal(c.status))
				g.Expect(runs.count(fmt.Sprint("order-", i))).To(Equal(c.nodes - 1))
			}
		})
	}
}
