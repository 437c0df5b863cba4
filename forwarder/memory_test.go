package forwarder_test

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/accountant"
	"quetzalhub/balancer"
	"quetzalhub/fencer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/pacer"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
)

// memoryNode is a node without a network: its entry calls its relay, and that an upstream
// that reads bodies and answers after workTime.
type memoryNode struct {
	singleNode
	account *accountant.Accountant
	relay   *forwarder.Relay
	entry   *forwarder.Entry
	// maxUsed is the largest use of memory that the upstream saw.
	maxUsed atomic.Int64
}

const workTime = 20 * time.Millisecond

func (n *memoryNode) Identity() (string, uint64) { return "node", 1 }

func (n *memoryNode) UpstreamFor(string) (forwarder.Upstream, refuser.Code) {
	return forwarder.Upstream{Limiter: openLimiter{}, Address: "upstream"}, refuser.None
}

// Admit admits all requests.
func (n *memoryNode) Admit(context.Context, string, time.Duration) error { return nil }

// Check is not reached, since no attempt fails.
func (n *memoryNode) Check(context.Context, string, *schema.CheckRequest) (schema.Progress, error) {
	return schema.Progress_PROGRESS_RUNNING, nil
}

// RoundTrip sends a call to the relay, or a request of the relay to the upstream.
func (n *memoryNode) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Host == "upstream" {
		return n.serve(req)
	}
	r := req.Clone(req.Context())
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	n.relay.ServeHTTP(w, r)
	return w.Result(), nil
}

func (n *memoryNode) serve(req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		for p := make([]byte, 1<<20); ; {
			_, err := req.Body.Read(p)
			n.maxUsed.Store(max(n.maxUsed.Load(), n.account.Usage().Used))
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, errSent
			}
		}
	}
	time.Sleep(workTime)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: req}, nil
}

func newMemoryNode(t *testing.T, bound int64) *memoryNode {
	g := NewWithT(t)
	large, small := resolver.DigestOf("large"), resolver.DigestOf("small")
	raw, err := proto.Marshal(&schema.State{Version: 1, Config: &schema.Config{
		Workspaces: []*schema.Workspace{
			{Name: "large", Rate: 1e6, Burst: 1e6, Keys: []*schema.Key{{Digest: large[:]}}},
			{Name: "small", Rate: 1e6, Burst: 1e6, Keys: []*schema.Key{{Digest: small[:]}}},
		},
		Routes: []*schema.Route{{Prefix: "/files", Service: "files", Class: schema.Class_CLASS_NORMAL}},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := resolver.Compile(raw)
	g.Expect(err).NotTo(HaveOccurred())
	n := &memoryNode{account: accountant.New(bound)}
	n.singleNode = singleNode{gossiper.NewView(map[string]*schema.Member{"node": {
		Name: "node", Address: "node", Incarnation: 1, Status: schema.Status_STATUS_ALIVE,
		Endpoints: []*schema.Endpoint{{Service: "files", Phase: schema.Phase_PHASE_READY}},
	}})}
	refusals := refuser.New(new(expvar.Map))
	n.relay = forwarder.NewRelay(forwarder.RelayOptions{
		Identity: n, Upstreams: n, Fencer: fencer.New(), Tracker: &tracker.Tracker{}, Refuser: refusals, Transport: n,
		MaxBodyBytes: 64 << 20, Accountant: n.account, Pacer: pacer.New(), Dialect: forwarder.Native{}, Reporter: reporter.Discard{},
	})
	n.entry = forwarder.NewEntry(forwarder.EntryOptions{
		DefaultTimeout: 8 * time.Second, MaxBodyBytes: 64 << 20, KeptBytes: 64 << 10, Accountant: n.account, Pacer: pacer.New(),
		Dialect: forwarder.Native{}, State: fixedState{n.singleNode, snapshot}, Admitter: n, Refuser: refusals, Reporter: reporter.Discard{},
		Dispatcher: forwarder.NewDispatcher(forwarder.DispatcherOptions{
			Identity: n, Picker: balancer.New(n, ""), RetryThrottler: n, Checker: n, Transport: n, CheckInterval: time.Second,
			RetryCounts: new(expvar.Map), MaxFreeRetries: 2, Reporter: reporter.Discard{},
		}),
	})
	return n
}

// send sends a request and returns the status and the time that it took.
func (n *memoryNode) send(key string, body io.Reader, length int64) (int, time.Duration) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	req := httptest.NewRequest(http.MethodPost, "/files/1", body)
	req.ContentLength = length
	if slow, ok := body.(*slowSender); ok {
		slow.recorder = w
	}
	req.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	n.entry.ServeHTTP(w, req)
	return w.Code, time.Since(began)
}

// deadlineRecorder is a recorder with a deadline for reading.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetReadDeadline sets the deadline.
func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// slowSender yields a byte a second until the deadline.
type slowSender struct{ recorder *deadlineRecorder }

func (s *slowSender) Read(p []byte) (int, error) {
	time.Sleep(min(time.Second, time.Until(s.recorder.deadline)))
	if !time.Now().Before(s.recorder.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	p[0] = 0
	return 1, nil
}

// noise yields bytes without end.
type noise struct{}

func (noise) Read(p []byte) (int, error) { return len(p), nil }

// TestMemoryOfUploads guards against memory that grows with what callers send. Thirty bodies of
// the largest size and two hundred slow ones of one workspace must fit into the bound, and
// take neither room nor time from small requests of another one.
func TestMemoryOfUploads(t *testing.T) {
	cases := map[string]struct {
		bound int64
		// minLarge is the number of large bodies that must be served.
		minLarge int
	}{
		// As many as end in time at the rate that is assumed at first.
		"much room":   {bound: 56 << 20, minLarge: 13},
		"little room": {bound: 4 << 20, minLarge: 2},
		"almost none": {bound: 1 << 20, minLarge: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newMemoryNode(t, c.bound)
				var group sync.WaitGroup
				var large, slow [200]int
				for i := range 30 {
					group.Go(func() { large[i], _ = n.send("large", io.LimitReader(noise{}, 64<<20), 64<<20) })
				}
				for i := range slow {
					group.Go(func() {
						var elapsed time.Duration
						slow[i], elapsed = n.send("large", &slowSender{}, 64<<20)
						g.Expect(elapsed).To(BeNumerically("<=", 8*time.Second))
					})
				}
				for range 400 {
					time.Sleep(20 * time.Millisecond)
					status, elapsed := n.send("small", noise{}, 0)
					g.Expect(status).To(Equal(http.StatusOK))
					g.Expect(elapsed).To(BeNumerically("<=", 2*workTime))
				}
				group.Wait()
				statuses := map[int]int{}
				for _, status := range large[:30] {
					statuses[status]++
				}
				t.Logf("large bodies by status: %v, %d of %d bytes used at most", statuses, n.maxUsed.Load(), c.bound)
				g.Expect(statuses[http.StatusOK]).To(BeNumerically(">=", c.minLarge))
				g.Expect(statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]).To(Equal(30))
				for _, status := range slow {
					g.Expect(status).To(Or(Equal(http.StatusRequestTimeout), Equal(http.StatusServiceUnavailable)))
				}
				// Responses are not refused, so that what they take may come on top.
				g.Expect(n.maxUsed.Load()).To(BeNumerically("<=", c.bound+1<<20))
				g.Expect(n.account.Usage()).To(Equal(accountant.Usage{Bound: c.bound}))
			})
		})
	}
}
