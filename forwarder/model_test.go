package forwarder_test

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/balancer"
	"quetzalhub/fencer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
)

// errSent is the error of a transporter that may have sent a request.
var errSent = sentError()

func sentError() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
	}()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", nil)
	if err != nil {
		panic(err)
	}
	_, err = transporter.New(nil).RoundTrip(req)
	return err
}

// shedHeader marks responses of upstreams that did not run the request.
const shedHeader = "Not-Run"

// sheddingDialect is the native dialect with upstreams that shed load.
type sheddingDialect struct{ forwarder.Native }

func (d sheddingDialect) ClassifyResponse(resp *http.Response, id string) forwarder.ResponseKind {
	if resp.Header.Get(shedHeader) != "" {
		return forwarder.ResponseShed
	}
	return d.Native.ClassifyResponse(resp, id)
}

// faultyNetwork connects an entry to nodes beside upstreams. Each message is delivered,
// lost, late or, for requests, doubled; nodes are restarted and suspended at any time.
type faultyNetwork struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*modelNode
	view  *gossiper.View
	runs  map[string]int
}

// modelNode is one node with the upstream beside it. Each restart replaces its relay.
type modelNode struct {
	network     *faultyNetwork
	name        string
	incarnation uint64
	fencer      *fencer.Fencer
	relay       *forwarder.Relay
	// ended is canceled when the process of the node ends.
	ended  context.Context
	cancel context.CancelFunc
	// frozenUntil is the time until which the process is suspended.
	frozenUntil time.Time
}

func (n *faultyNetwork) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}

func (n *faultyNetwork) delay(most time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Float64() * float64(most))
}

// transit is the time that a message takes: mostly a millisecond, at times seconds.
func (n *faultyNetwork) transit() time.Duration {
	if n.chance(0.1) {
		return n.delay(4 * time.Second)
	}
	return time.Millisecond
}

func (n *faultyNetwork) Identity() (string, uint64)                      { return "entry", 1 }
func (n *faultyNetwork) RecordRequest(string, string, bool)              {}
func (n *faultyNetwork) AllowRetry(context.Context, string, string) bool { return true }
func (n *faultyNetwork) Fresh() bool                                     { return true }
func (n *faultyNetwork) View() *gossiper.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// start starts or restarts the node with a name.
func (n *faultyNetwork) start(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &modelNode{network: n, name: name, fencer: fencer.New()}
	if old := n.nodes[name]; old != nil {
		old.cancel()
		node.incarnation = old.incarnation
	}
	node.incarnation++
	node.ended, node.cancel = context.WithCancel(context.Background())
	node.relay = forwarder.NewRelay(forwarder.RelayOptions{
		Identity: node, Upstreams: node, Fencer: node.fencer, Tracker: &tracker.Tracker{}, Refuser: refuser.New(new(expvar.Map)),
		Transport: node, MaxBodyBytes: 1 << 20, Dialect: sheddingDialect{}, Reporter: reporter.Discard{},
	})
	n.nodes[name] = node
	members := map[string]*schema.Member{}
	for name, node := range n.nodes {
		members[name] = &schema.Member{
			Name: name, Address: name, Incarnation: node.incarnation, Status: schema.Status_STATUS_ALIVE,
			Endpoints: []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY}},
		}
	}
	n.view = gossiper.NewView(members)
}

func (n *faultyNetwork) node(name string) *modelNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[name]
}

// RoundTrip carries a call to a node and its response back.
func (n *faultyNetwork) RoundTrip(req *http.Request) (*http.Response, error) {
	body := &sharedBody{source: req.Body}
	if req.Header.Get("Expect") == "" {
		body.read()
	}
	copies := 1
	switch {
	case n.chance(0.08):
		copies = 0
	case n.chance(0.05):
		copies = 2
	}
	answers := make(chan *http.Response, 2)
	// The connection leads to the process that runs now, not to a later one.
	node := n.node(req.URL.Host)
	for range copies {
		go n.deliver(node, req, body, answers)
	}
	select {
	case resp := <-answers:
		return resp, nil
	case <-req.Context().Done():
		return nil, errors.Join(req.Context().Err(), errSent)
	case <-time.After(n.delay(20 * time.Second)):
		// The connection breaks.
		return nil, errSent
	}
}

// sharedBody is the body of a call of which there may be several copies. A body that the receiver
// asks for is read from the sender then, once.
type sharedBody struct {
	source io.Reader
	once   sync.Once
	data   []byte
	err    error
}

func (b *sharedBody) read() { b.once.Do(func() { b.data, b.err = io.ReadAll(b.source) }) }

// copied returns a reader of the body.
func (b *sharedBody) copied() io.Reader { return &bodyCopy{body: b} }

// bodyCopy reads a sharedBody.
type bodyCopy struct {
	body *sharedBody
	read int
}

func (c *bodyCopy) Read(p []byte) (int, error) {
	c.body.read()
	n := copy(p, c.body.data[c.read:])
	c.read += n
	switch {
	case n > 0:
		return n, nil
	case c.body.err != nil:
		return 0, c.body.err
	default:
		return 0, io.EOF
	}
}

// deliver carries one copy of a call, whether its sender still waits or not.
func (n *faultyNetwork) deliver(node *modelNode, req *http.Request, body *sharedBody, answers chan<- *http.Response) {
	time.Sleep(n.transit())
	if !node.thaw() {
		return
	}
	ctx, cancel := context.WithCancel(node.ended)
	defer cancel()
	copied := httptest.NewRequest(req.Method, req.URL.RequestURI(), body.copied()).WithContext(ctx)
	copied.ContentLength = req.ContentLength
	copied.Header = req.Header.Clone()
	w := httptest.NewRecorder()
	defer func() {
		// The relay aborts a response that it cannot complete.
		if recover() != nil || !node.thaw() || n.chance(0.08) {
			return
		}
		time.Sleep(n.transit())
		answers <- w.Result()
	}()
	node.relay.ServeHTTP(w, copied)
}

// Check asks a node for the progress of an attempt.
func (n *faultyNetwork) Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error) {
	answers := make(chan schema.Progress, 1)
	go func() {
		time.Sleep(n.transit())
		node := n.node(address)
		if n.chance(0.1) || !node.thaw() {
			return
		}
		progress := schema.Progress_PROGRESS_UNKNOWN
		if req.GetIncarnation() == node.incarnation {
			progress = node.fencer.Check(req.GetAttempt())
		}
		time.Sleep(n.transit())
		if !n.chance(0.1) {
			answers <- progress
		}
	}()
	select {
	case p := <-answers:
		return p, nil
	case <-ctx.Done():
		return schema.Progress_PROGRESS_UNKNOWN, ctx.Err()
	}
}

// thaw waits while the process is suspended and reports whether it still runs.
func (m *modelNode) thaw() bool {
	for {
		m.network.mu.Lock()
		wait := time.Until(m.frozenUntil)
		m.network.mu.Unlock()
		if wait <= 0 {
			return m.ended.Err() == nil
		}
		time.Sleep(wait)
	}
}

func (m *modelNode) Identity() (string, uint64) { return m.name, m.incarnation }

func (m *modelNode) UpstreamFor(string) (forwarder.Upstream, refuser.Code) {
	return forwarder.Upstream{Limiter: openLimiter{}, Address: "upstream"}, refuser.None
}

// RoundTrip runs a request at the upstream beside the node. The upstream outlives the
// process of the node.
func (m *modelNode) RoundTrip(req *http.Request) (*http.Response, error) {
	n := m.network
	time.Sleep(n.transit())
	if !m.thaw() || req.Context().Err() != nil {
		return nil, errSent
	}
	if body, err := io.ReadAll(req.Body); err != nil || string(body) != modelBody {
		return nil, errSent
	}
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: req}
	if n.chance(0.1) {
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set(shedHeader, "1")
		return resp, nil
	}
	n.mu.Lock()
	n.runs[req.Header.Get("X-Id")]++
	n.mu.Unlock()
	select {
	case <-time.After(n.delay(300 * time.Millisecond)):
	case <-req.Context().Done():
		return nil, errSent
	}
	if !m.thaw() || n.chance(0.1) {
		return nil, errSent
	}
	if n.chance(0.1) {
		resp.StatusCode = http.StatusInternalServerError
	}
	return resp, nil
}

// openLimiter admits all requests.
type openLimiter struct{}

func (openLimiter) Acquire(ctx context.Context, r guard.Request) (*guard.Permit, error) {
	return guard.New(guard.InitialLimit(1000), guard.FixedLimit()).Acquire(ctx, r)
}
func (openLimiter) Level() uint32 { return 0 }

// disturb restarts and suspends nodes at random times until the context ends.
func (n *faultyNetwork) disturb(ctx context.Context, names []string) {
	for ctx.Err() == nil {
		time.Sleep(n.delay(3 * time.Second))
		name := names[int(n.delay(time.Duration(len(names))))]
		if n.chance(0.4) {
			n.start(name)
			continue
		}
		until := time.Now().Add(n.delay(6 * time.Second))
		n.mu.Lock()
		n.nodes[name].frozenUntil = until
		n.mu.Unlock()
	}
}

// TestModelAtMostOnce explores interleavings of lost, late and doubled messages with
// restarted and suspended nodes. A request that is not idempotent must run at most once,
// and one that was reported as not run must never run, however late.
//
// With keptBytes, the nodes keep only a part of the body, so that a call whose body has been
// asked for is not sent again.
func TestModelAtMostOnce(t *testing.T) {
	for name, keptBytes := range map[string]int64{"bodies kept": 1 << 20, "bodies passed on": 2} {
		t.Run(name, func(t *testing.T) { exploreAtMostOnce(t, keptBytes) })
	}
}

func exploreAtMostOnce(t *testing.T, keptBytes int64) {
	const seeds, requests = 300, 20
	state := &schema.State{Version: 1, Config: &schema.Config{Routes: []*schema.Route{
		{Prefix: "/orders", Service: "orders", Class: schema.Class_CLASS_NORMAL, Open: true},
		{Prefix: "/sizes", Service: "orders", Class: schema.Class_CLASS_NORMAL, Open: true, Idempotent: true},
	}}}
	raw, err := proto.Marshal(state)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	snapshot, err := resolver.Compile(raw)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	outcomes := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := &faultyNetwork{rng: rand.New(rand.NewPCG(seed, 4)), nodes: map[string]*modelNode{}, runs: map[string]int{}}
			names := []string{"node-0", "node-1", "node-2"}
			for _, name := range names {
				n.start(name)
			}
			ctx, cancel := context.WithCancel(context.Background())
			go n.disturb(ctx, names)
			entry := forwarder.NewEntry(forwarder.EntryOptions{
				DefaultTimeout: 5 * time.Second, RetryBudget: 3, MaxBodyBytes: 1 << 20, KeptBytes: keptBytes, Dialect: sheddingDialect{},
				State: fixedState{singleNode{}, snapshot}, Refuser: refuser.New(new(expvar.Map)), Reporter: reporter.Discard{},
				Dispatcher: forwarder.NewDispatcher(forwarder.DispatcherOptions{
					Identity: n, Picker: balancer.New(n, ""), RetryThrottler: n, Checker: n, Transport: n, CheckInterval: 200 * time.Millisecond,
					RetryCounts: new(expvar.Map), MaxFreeRetries: 2, Failover: true, Reporter: reporter.Discard{},
				}),
			})
			results := make([]string, requests)
			var group sync.WaitGroup
			for i := range requests {
				time.Sleep(n.delay(time.Second))
				group.Go(func() { results[i] = sendToEntry(entry, i) })
			}
			group.Wait()
			cancel()
			// Late messages still arrive.
			time.Sleep(time.Minute)
			n.mu.Lock()
			defer n.mu.Unlock()
			for i, outcome := range results {
				outcomes[outcome]++
				if i%4 == 3 {
					continue
				}
				runs := n.runs[fmt.Sprint(i)]
				g.Expect(runs).To(BeNumerically("<=", 1), "seed %d, request %d ran twice, outcome %s", seed, i, outcome)
				if outcome == "not run" {
					g.Expect(runs).To(BeZero(), "seed %d, request %d ran although it was reported as not run", seed, i)
				}
			}
			for _, node := range n.nodes {
				node.cancel()
			}
		})
	}
	t.Logf("outcomes: %v", outcomes)
	for _, outcome := range []string{"answered", "not run", "unknown"} {
		NewWithT(t).Expect(outcomes[outcome]).To(BeNumerically(">", 30), outcome)
	}
}

// modelBody is the body of all requests.
const modelBody = "body"

// sendToEntry sends a request, every fourth of them idempotent, and returns its outcome.
func sendToEntry(entry http.Handler, i int) (outcome string) {
	path := "/orders/1"
	if i%4 == 3 {
		path = "/sizes/1"
	}
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(modelBody))
	req.Header.Set("X-Id", fmt.Sprint(i))
	w := httptest.NewRecorder()
	entry.ServeHTTP(w, req)
	if w.Header().Get(forwarder.HeaderCode) == "" && w.Header().Get("Content-Type") != refuser.ContentType {
		return "answered"
	}
	var problem refuser.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &problem); err != nil {
		return "unreadable"
	}
	return problem.Outcome
}
