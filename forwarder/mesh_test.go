package forwarder_test

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/accountant"
	"quetzalhub/balancer"
	"quetzalhub/fencer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/naive"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
	"quetzalhub/transporter"
)

const secret = "qz_TESTSECRET0000000000000"

// mesh is a set of nodes in one process with a fixed member table.
type mesh struct {
	t     testing.TB
	naive bool
	// failover retries at another upstream after a server error.
	failover      bool
	budget        uint32
	checkInterval time.Duration
	// keptBytes is the part of a body that is kept, or zero for all, and account bounds the
	// memory for bodies of each node.
	keptBytes int64
	account   func() *accountant.Accountant
	// timeout is the time that a request may take. Zero means 5 s.
	timeout time.Duration
	// unpacked nodes neither send nor accept compact envelopes.
	unpacked bool
	// admissionDelay is the time for which each request waits for a token.
	admissionDelay time.Duration

	mu    sync.Mutex
	view  *gossiper.View
	state *schema.State
	// snapshot is the compiled state.
	snapshot *resolver.Snapshot
	nodes    []*node
	checks   int
	// claims holds the responses of Claim by key. Other keys are granted.
	claims map[string]*schema.ClaimResponse
	// onCheck, if set, is called with the number of checks so far.
	onCheck func(n int)
}

// node is a node and its upstream.
type node struct {
	mesh     *mesh
	name     string
	service  string
	fencer   *fencer.Fencer
	limiter  forwarder.ConcurrencyLimiter
	upstream *httptest.Server
	peers    *httptest.Server
	callers  *httptest.Server
	local    *httptest.Server
	// link, if set, relays the connections from other nodes to this one.
	link *link
	// draining nodes refuse calls.
	draining bool
	// The upstream of a barred node receives no calls.
	barred atomic.Bool
}

func newMesh(t testing.TB) *mesh {
	m := &mesh{t: t, claims: map[string]*schema.ClaimResponse{}, budget: 3, checkInterval: 200 * time.Millisecond, view: gossiper.NewView(nil)}
	digest := resolver.DigestOf(secret)
	m.state = &schema.State{Version: 1, Config: &schema.Config{Workspaces: []*schema.Workspace{
		{Name: "gloves", Rate: 1e6, Burst: 1e6, Keys: []*schema.Key{{Digest: digest[:]}}},
	}}}
	return m
}

func (m *mesh) View() *gossiper.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Snapshot returns the state as compiled by join.
func (m *mesh) Snapshot() *resolver.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot
}

func (m *mesh) Fresh() bool { return true }

// Admit admits every request after the admission delay.
func (m *mesh) Admit(context.Context, string, time.Duration) error {
	time.Sleep(m.admissionDelay)
	return nil
}

// Claim grants each key once.
func (m *mesh) Claim(_ context.Context, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if resp := m.claims[req.GetKey()]; resp != nil {
		return resp, nil
	}
	m.claims[req.GetKey()] = &schema.ClaimResponse{Standing: schema.Standing_STANDING_PENDING}
	return &schema.ClaimResponse{Standing: schema.Standing_STANDING_GRANTED}, nil
}

// Settle stores the outcome of the request of a key.
func (m *mesh) Settle(_ context.Context, req *schema.SettleRequest, _ resolver.Regions) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	standing := schema.Standing_STANDING_UNKNOWN
	switch req.GetOutcome() {
	case schema.Outcome_OUTCOME_NOT_RUN:
		delete(m.claims, req.GetKey())
		return nil
	case schema.Outcome_OUTCOME_ANSWERED:
		standing = schema.Standing_STANDING_ANSWERED
	}
	m.claims[req.GetKey()] = &schema.ClaimResponse{Standing: standing, Answer: req.GetAnswer()}
	return nil
}

// addRoute adds a route for a service at /service.
func (m *mesh) addRoute(service string, idempotent bool) {
	m.state.Config.Routes = append(m.state.Config.Routes, &schema.Route{
		Prefix: "/" + service, Service: service, Class: schema.Class_CLASS_NORMAL, Idempotent: idempotent,
	})
}

// isBarred returns a refusal code while the upstream of the node may receive no calls.
func (n *node) isBarred() refuser.Code {
	if n.barred.Load() {
		return refuser.DomainEvacuated
	}
	return refuser.None
}

func (n *node) Identity() (string, uint64) { return n.name, 1 }

func (n *node) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	if service != n.service {
		return forwarder.Upstream{}, refuser.EndpointMissing
	}
	if n.draining {
		return forwarder.Upstream{}, refuser.Draining
	}
	return forwarder.Upstream{Limiter: n.limiter, Address: strings.TrimPrefix(n.upstream.URL, "http://")}, refuser.None
}

// Check asks the node at an address directly.
func (m *mesh) Check(_ context.Context, address string, req *schema.CheckRequest) (schema.Progress, error) {
	m.mu.Lock()
	m.checks++
	n, onCheck := m.checks, m.onCheck
	m.mu.Unlock()
	if onCheck != nil {
		onCheck(n)
	}
	for _, n := range m.nodes {
		if n.address() == address {
			return n.fencer.Check(req.GetAttempt()), nil
		}
	}
	return schema.Progress_PROGRESS_UNKNOWN, io.ErrUnexpectedEOF
}

func (n *node) address() string {
	if n.link != nil {
		return n.link.listener.Addr().String()
	}
	return n.peers.Listener.Addr().String()
}

// addNode starts a node beside an upstream. handler returns the handler of the
// upstream for the address of the node's local listener.
func (m *mesh) addNode(service string, handler func(local string) http.Handler) *node {
	n := &node{mesh: m, name: fmt.Sprintf("node-%d", len(m.nodes)), service: service, fencer: fencer.New()}
	n.limiter = guard.New(guard.InitialLimit(64))
	n.local = httptest.NewUnstartedServer(nil)
	n.upstream = httptest.NewServer(handler(n.local.Listener.Addr().String()))
	active := &tracker.Tracker{}
	refusals := refuser.New(new(expvar.Map))
	options := forwarder.DispatcherOptions{
		Identity: n, Picker: balancer.New(m, "main"), RetryThrottler: tracker.NewThrottle(), Checker: m,
		Transport: transporter.New(nil), CheckInterval: m.checkInterval, RetryCounts: new(expvar.Map), Reporter: reporter.Discard{},
		Failover: m.failover,
	}
	if m.naive {
		options.Picker = naive.NewPicker(m)
		options.RetriesPerCall = naive.RetriesPerCall
	}
	d := forwarder.NewDispatcher(options)
	var account *accountant.Accountant
	if m.account != nil {
		account = m.account()
	}
	n.callers = httptest.NewServer(forwarder.NewEntry(forwarder.EntryOptions{
		DefaultTimeout: cmp.Or(m.timeout, 5*time.Second), RetryBudget: m.budget, MaxBodyBytes: 1 << 20, KeptBytes: m.keptBytes, Accountant: account, Dialect: forwarder.Native{}, State: m, Admitter: m,
		Dispatcher: d, IdempotencyStore: m, Refuser: refusals, Reporter: reporter.Discard{},
	}))
	n.local.Config.Handler = forwarder.NewEgress(forwarder.EgressOptions{State: m, Tracker: active, Dispatcher: d, Refuser: refusals, MaxBodyBytes: 1 << 20, KeptBytes: m.keptBytes, Accountant: account})
	n.local.Start()
	n.peers = httptest.NewServer(forwarder.NewRelay(forwarder.RelayOptions{
		Identity: n, Upstreams: n, Fencer: n.fencer, Tracker: active,
		Refuser: refuser.New(new(expvar.Map)), Transport: transporter.New(nil, transporter.Accept(forwarder.Native{}.MatchesRequest)), MaxBodyBytes: 1 << 20, Accountant: account,
		Dialect: forwarder.Native{}, Reporter: reporter.Discard{}, Barred: n.isBarred,
	}))
	for _, s := range []*httptest.Server{n.local, n.upstream, n.callers, n.peers} {
		m.t.Cleanup(s.Close)
		m.t.Cleanup(s.CloseClientConnections)
	}
	m.nodes = append(m.nodes, n)
	return n
}

// join makes all nodes known to each other.
func (m *mesh) join() {
	members := map[string]*schema.Member{}
	for _, n := range m.nodes {
		members[n.name] = &schema.Member{
			Name: n.name, Address: n.address(), Domain: "a", Region: "main", Incarnation: 1, Packs: !m.unpacked,
			Status:    schema.Status_STATUS_ALIVE,
			Endpoints: []*schema.Endpoint{{Service: n.service, Phase: schema.Phase_PHASE_READY}},
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = gossiper.NewView(members)
	raw, _ := proto.Marshal(m.state)
	m.snapshot, _ = resolver.Compile(raw)
}

// response is a response as received by a caller.
type response struct {
	status int
	body   string
	// complete is false if the response was truncated.
	complete bool
}

// request sends a request to the first node.
func (m *mesh) request(method, path, id, body string) response {
	req, _ := http.NewRequest(method, m.nodes[0].callers.URL+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("X-Id", id)
	return send(req)
}

func send(req *http.Request) response {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(text), err == nil}
}

// runCounter counts how often each request ran.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

func (c *runCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, n := range c.runs {
		sum += n
	}
	return sum
}

// echo responds with the id and the body of a request and counts the run.
func echo(runs *runCounter) func(string) http.Handler {
	return func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			id := r.Header.Get("X-Id")
			runs.add(id)
			_, _ = fmt.Fprintf(w, "%s:%s:%s", id, body, strings.Repeat("z", 2000))
		})
	}
}

// link is a TCP proxy that can cut connections or stop relaying data.
type link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// requestLimit and responseLimit are the numbers of bytes after which a
	// connection is cut in each direction. Negative limits never cut.
	requestLimit, responseLimit int
	// silent keeps connections open without relaying data.
	silent bool
	// passed counts the bytes relayed in both directions.
	passed atomic.Int64
}

func (m *mesh) newLink(n *node) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	l := &link{listener: listener, target: n.peers.Listener.Addr().String(), requestLimit: -1, responseLimit: -1}
	n.link = l
	m.t.Cleanup(func() { _ = listener.Close() })
	go l.run()
	return l
}

func (l *link) set(requestLimit, responseLimit int, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestLimit, l.responseLimit, l.silent = requestLimit, responseLimit, silent
}

func (l *link) run() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(conn)
	}
}

func (l *link) proxy(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l.mu.Lock()
	requestLimit, responseLimit := l.requestLimit, l.responseLimit
	l.mu.Unlock()
	closeBoth := func() {
		_ = client.Close()
		_ = server.Close()
	}
	go l.copyUntil(server, client, requestLimit, closeBoth)
	l.copyUntil(client, server, responseLimit, closeBoth)
}

// copyUntil copies bytes up to the limit and then cuts the connection.
func (l *link) copyUntil(to, from net.Conn, limit int, cut func()) {
	defer cut()
	buffer := make([]byte, 4096)
	for passed := 0; ; {
		n, err := from.Read(buffer)
		for l.isSilent() {
			time.Sleep(10 * time.Millisecond)
		}
		if limit >= 0 && passed+n > limit {
			_, _ = to.Write(buffer[:limit-passed])
			return
		}
		passed += n
		l.passed.Add(int64(n))
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}
