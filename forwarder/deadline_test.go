package forwarder_test

import (
	"encoding/base64"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/schema"
)

// TestExpiredAttemptIsRefused guards against running an attempt that arrives
// after its deadline.
func TestExpiredAttemptIsRefused(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		runs int
	}{
		"time left":       {time.Second, 1},
		"no time left":    {0, 0},
		"deadline passed": {-time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.addRoute("orders", false)
			runs := newRunCounter()
			n := m.addNode("orders", echo(runs))
			m.join()
			envelope, err := proto.Marshal(&schema.Envelope{
				Attempt: "other/1/1", Incarnation: 1, Service: "orders", Left: durationpb.New(c.left),
			})
			g.Expect(err).NotTo(HaveOccurred())
			req, _ := http.NewRequest("POST", n.peers.URL+"/orders/1", nil)
			req.Header.Set("Quetzal-Envelope", base64.RawStdEncoding.EncodeToString(envelope))
			req.Header.Set("Quetzal-Method", "POST")
			req.Header.Set("X-Id", "order")
			resp := send(req)
			g.Expect(runs.count("order")).To(Equal(c.runs))
			if c.runs == 0 {
				g.Expect(outcomeOf(resp)).To(Equal("not run"))
			}
		})
	}
}

// TestTimeoutCountsFromArrival guards against answers later than the timeout of a route:
// the time for which a request waits for a token of its workspace, or for its own body, is
// part of it.
func TestTimeoutCountsFromArrival(t *testing.T) {
	const timeout, wait = 400 * time.Millisecond, 300 * time.Millisecond
	cases := map[string]struct {
		admission, body time.Duration
	}{
		"no wait":           {0, 0},
		"wait for a token":  {wait, 0},
		"wait for the body": {0, wait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.admissionDelay = c.admission
			m.addRoute("orders", false)
			m.state.Config.Routes[0].Timeout = durationpb.New(timeout)
			m.addNode("orders", func(string) http.Handler {
				return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * timeout) })
			})
			m.join()
			reader, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, "order")
				time.Sleep(c.body)
				writer.Close()
			}()
			req, err := http.NewRequest(http.MethodPost, m.nodes[0].callers.URL+"/orders/1", reader)
			g.Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+secret)
			sent := time.Now()
			g.Expect(send(req).status).To(Equal(http.StatusGatewayTimeout))
			g.Expect(time.Since(sent)).To(BeNumerically("<", timeout+wait/2))
		})
	}
}
