package forwarder_test

import (
	"encoding/base64"
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
