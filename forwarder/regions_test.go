package forwarder_test

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
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
)

// regionFleet is an entry with nodes beside upstreams in several regions, connected without a
// network. The entry lies in the first failure domain, which is that of the north.
type regionFleet struct {
	t      *testing.T
	nodes  map[string]*regionNode
	view   *gossiper.View
	entry  *forwarder.Entry
	egress *forwarder.Egress
	active *tracker.Tracker
	// admissionDelay is the time for which each request waits for a token.
	admissionDelay time.Duration

	mu       sync.Mutex
	snapshot *resolver.Snapshot
	// bodies and runs hold the regions to which the body of a request was sent, and in which
	// it ran, by the path of the request.
	bodies, runs map[string][]string
}

// regionNode is a node with the upstream beside it.
type regionNode struct {
	fleet   *regionFleet
	member  *schema.Member
	limiter *guard.Guard
	relay   *forwarder.Relay
	// work is the time that the upstream takes, and sheds is true if it runs no requests.
	work  time.Duration
	sheds bool
}

// newRegionFleet returns a fleet with a number of upstreams of the service orders in each region.
func newRegionFleet(t *testing.T, counts map[string]int, limit int, work time.Duration) *regionFleet {
	f := &regionFleet{t: t, nodes: map[string]*regionNode{}, active: &tracker.Tracker{}, bodies: map[string][]string{}, runs: map[string][]string{}}
	members := map[string]*schema.Member{}
	for region, count := range counts {
		for i := range count {
			name := fmt.Sprint(region, "-", i)
			n := &regionNode{fleet: f, work: work, limiter: guard.New(guard.InitialLimit(limit), guard.FixedLimit())}
			n.member = &schema.Member{
				Name: name, Address: name, Region: region, Domain: region, Incarnation: 1, Status: schema.Status_STATUS_ALIVE,
				Endpoints: []*schema.Endpoint{{Service: "orders", Phase: schema.Phase_PHASE_READY}},
			}
			n.relay = forwarder.NewRelay(forwarder.RelayOptions{
				Identity: n, Upstreams: n, Fencer: fencer.New(), Tracker: &tracker.Tracker{}, Refuser: refuser.New(new(expvar.Map)),
				Transport: n, MaxBodyBytes: 1 << 20, Dialect: sheddingDialect{}, State: f, Region: region, Reporter: reporter.Discard{},
			})
			f.nodes[name], members[name] = n, n.member
		}
	}
	f.view = gossiper.NewView(members)
	dispatcher := forwarder.NewDispatcher(forwarder.DispatcherOptions{
		Identity: f, Picker: balancer.New(f, "north", balancer.ByCapacity("north")), RetryThrottler: f, Checker: f, Transport: f,
		CheckInterval: time.Minute, RetryCounts: new(expvar.Map), MaxFreeRetries: 2, Reporter: reporter.Discard{}, State: f,
	})
	refusals := refuser.New(new(expvar.Map))
	f.entry = forwarder.NewEntry(forwarder.EntryOptions{
		DefaultTimeout: 5 * time.Second, RetryBudget: 5, MaxBodyBytes: 1 << 20, Dialect: forwarder.Native{}, State: f, Admitter: f,
		Dispatcher: dispatcher, IdempotencyStore: f, Refuser: refusals, Reporter: reporter.Discard{},
	})
	f.egress = forwarder.NewEgress(forwarder.EgressOptions{State: f, Tracker: f.active, Dispatcher: dispatcher, Refuser: refusals, MaxBodyBytes: 1 << 20})
	return f
}

// configure puts routes in force, with a workspace that is bound to regions.
func (f *regionFleet) configure(workspace []string, routes ...*schema.Route) {
	digest := resolver.DigestOf(secret)
	raw, err := proto.Marshal(&schema.State{Version: 1, Config: &schema.Config{
		Workspaces: []*schema.Workspace{{Name: "gloves", Rate: 1e6, Burst: 1e6, Keys: []*schema.Key{{Digest: digest[:]}}, Regions: workspace}},
		Routes:     routes,
	}})
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	snapshot, err := resolver.Compile(raw)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
}

func orders(prefix string, regions ...string) *schema.Route {
	return &schema.Route{Prefix: prefix, Service: "orders", Class: schema.Class_CLASS_NORMAL, Idempotent: true, Regions: regions}
}

func (f *regionFleet) Snapshot() *resolver.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *regionFleet) Fresh() bool                                     { return true }
func (f *regionFleet) View() *gossiper.View                            { return f.view }
func (f *regionFleet) Identity() (string, uint64)                      { return "entry", 1 }
func (f *regionFleet) RecordRequest(string, string, bool)              {}
func (f *regionFleet) AllowRetry(context.Context, string, string) bool { return true }

func (f *regionFleet) Check(context.Context, string, *schema.CheckRequest) (schema.Progress, error) {
	return schema.Progress_PROGRESS_UNKNOWN, io.ErrUnexpectedEOF
}

func (f *regionFleet) Admit(context.Context, string, time.Duration) error {
	time.Sleep(f.admissionDelay)
	return nil
}

func (f *regionFleet) Claim(context.Context, *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	return &schema.ClaimResponse{Standing: schema.Standing_STANDING_GRANTED}, nil
}

// Settle notes to which regions the answer may be sent.
func (f *regionFleet) Settle(_ context.Context, _ *schema.SettleRequest, within resolver.Regions) error {
	for _, region := range []string{"north", "south"} {
		if within.Allow(region) {
			f.add(f.bodies, "settled", region)
		}
	}
	return nil
}

func (f *regionFleet) add(to map[string][]string, path, region string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to[path] = append(to[path], region)
}

// RoundTrip carries a call to a node.
func (f *regionFleet) RoundTrip(req *http.Request) (*http.Response, error) {
	n := f.nodes[req.URL.Host]
	f.add(f.bodies, req.URL.Path, n.member.GetRegion())
	r := req.Clone(req.Context())
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	n.relay.ServeHTTP(w, r)
	return w.Result(), nil
}

func (n *regionNode) Identity() (string, uint64) { return n.member.GetName(), 1 }

func (n *regionNode) UpstreamFor(string) (forwarder.Upstream, refuser.Code) {
	return forwarder.Upstream{Limiter: n.limiter, Address: "upstream"}, refuser.None
}

// RoundTrip runs a request at the upstream.
func (n *regionNode) RoundTrip(req *http.Request) (*http.Response, error) {
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: req}
	if n.sheds {
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set(shedHeader, "1")
		return resp, nil
	}
	n.fleet.add(n.fleet.runs, req.URL.Path, n.member.GetRegion())
	time.Sleep(n.work)
	return resp, nil
}

// send sends a request and returns its status and, if it was refused, the code and outcome.
func (f *regionFleet) send(path string, header ...string) (int, refuser.Problem) {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader("a pair of gloves"))
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return serveProblem(f.entry, req)
}

func serveProblem(h http.Handler, req *http.Request) (int, refuser.Problem) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	var problem refuser.Problem
	if w.Header().Get("Content-Type") == refuser.ContentType {
		if err := json.Unmarshal(w.Body.Bytes(), &problem); err != nil {
			panic(err)
		}
	}
	return w.Code, problem
}

// TestRegions guards against requests that run, or whose bodies are sent, outside the regions of
// their route and workspace. The entry lies in the north, and so prefers upstreams there.
func TestRegions(t *testing.T) {
	cases := map[string]struct {
		route, workspace []string
		// shedding is the region whose upstreams run no requests.
		shedding string
		// change puts another configuration in force after 100 ms, while the request waits for
		// its rate.
		change func(f *regionFleet)
		// want holds the regions that the body may reach; none means that the request is refused
		// with the code.
		want []string
		code refuser.Code
	}{
		"no bound":                     {want: []string{"north", "south"}},
		"route":                        {route: []string{"south"}, want: []string{"south"}},
		"workspace":                    {workspace: []string{"south"}, want: []string{"south"}},
		"both":                         {route: []string{"south", "north"}, workspace: []string{"east", "south"}, want: []string{"south"}},
		"none that both allow":         {route: []string{"south"}, workspace: []string{"north"}, code: refuser.RegionMissing},
		"unknown region":               {route: []string{"nowhere"}, code: refuser.RegionMissing},
		"upstreams of the region shed": {route: []string{"south"}, shedding: "south", want: []string{"south"}, code: refuser.UpstreamShed},
		"upstreams of others shed":     {route: []string{"south"}, shedding: "north", want: []string{"south"}},
		"bound while it waits": {
			change: func(f *regionFleet) { f.configure(nil, orders("/orders", "south")) },
			want:   []string{"south"},
		},
		"workspace bound while it waits": {
			change: func(f *regionFleet) { f.configure([]string{"south"}, orders("/orders")) },
			want:   []string{"south"},
		},
		"moved while it waits": {
			route: []string{"north"}, change: func(f *regionFleet) { f.configure(nil, orders("/orders", "south")) },
			want: []string{"south"},
		},
		"excluded while it waits": {
			route: []string{"north"}, change: func(f *regionFleet) { f.configure(nil, orders("/orders", "east")) },
			code: refuser.RegionMissing,
		},
		"released while it waits": {
			route: []string{"south"}, change: func(f *regionFleet) { f.configure(nil, orders("/orders")) },
			want: []string{"north", "south"},
		},
		"route removed while it waits": {
			route: []string{"south"}, change: func(f *regionFleet) { f.configure(nil, orders("/files")) },
			want: []string{"south"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newRegionFleet(t, map[string]int{"north": 3, "south": 3}, 8, time.Millisecond)
				for _, n := range f.nodes {
					n.sheds = n.member.GetRegion() == c.shedding
				}
				f.admissionDelay = 200 * time.Millisecond
				for i := range 20 {
					f.configure(c.workspace, orders("/orders", c.route...))
					if c.change != nil {
						time.AfterFunc(100*time.Millisecond, func() { c.change(f) })
					}
					status, problem := f.send(fmt.Sprint("/orders/", i))
					if c.code != refuser.None {
						g.Expect(status).To(Equal(http.StatusServiceUnavailable))
						g.Expect(problem.Code).To(Equal(c.code))
						g.Expect(problem.Outcome).To(Equal("not run"))
					} else {
						g.Expect(status).To(Equal(http.StatusOK), "%v", problem)
					}
				}
				if len(c.want) == 0 {
					g.Expect(f.bodies).To(BeEmpty())
				}
				for path, regions := range f.bodies {
					for _, region := range regions {
						g.Expect(c.want).To(ContainElement(region), path)
					}
				}
			})
		})
	}
}

// TestRegionMissingAtOnce guards against a request that waits for its rate, and takes a part of
// it, although no upstream may run it.
func TestRegionMissingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newRegionFleet(t, map[string]int{"north": 1}, 8, time.Millisecond)
		f.configure(nil, orders("/orders", "south"))
		f.admissionDelay = time.Second
		began := time.Now()
		_, problem := f.send("/orders/1")
		g.Expect(problem.Code).To(Equal(refuser.RegionMissing))
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// TestRegionsInQueue guards against a request that runs in a region from which the configuration
// has excluded it while it waited in the queue beside the upstream.
func TestRegionsInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newRegionFleet(t, map[string]int{"north": 1, "south": 1}, 1, 50*time.Millisecond)
		f.configure(nil, orders("/orders", "south"))
		var group sync.WaitGroup
		group.Go(func() { f.send("/orders/1") })
		time.Sleep(10 * time.Millisecond)
		group.Go(func() {
			status, problem := f.send("/orders/2")
			g.Expect(status).To(Equal(http.StatusOK), "%v", problem)
		})
		time.Sleep(10 * time.Millisecond)
		g.Expect(f.nodes["south-0"].limiter.Describe().GetQueued()).To(Equal(uint32(1)))
		f.configure(nil, orders("/orders", "north"))
		group.Wait()
		g.Expect(f.runs).To(Equal(map[string][]string{"/orders/1": {"south"}, "/orders/2": {"north"}}))
	})
}

// TestRegionsOfCalls checks that the calls made for a request are bound by their own route
// only, and not by the workspace of the request.
func TestRegionsOfCalls(t *testing.T) {
	cases := map[string]struct {
		workspace, route []string
		want             int
	}{
		"workspace of the request":      {workspace: []string{"south"}, want: http.StatusOK},
		"route of the call":             {route: []string{"south"}, want: http.StatusServiceUnavailable},
		"route of the call allows this": {route: []string{"south", "north"}, workspace: []string{"south"}, want: http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newRegionFleet(t, map[string]int{"north": 1}, 8, time.Millisecond)
				f.configure(c.workspace, orders("/stock", c.route...))
				ticket := f.active.Open(&tracker.Request{ID: "r-1", Workspace: "gloves", Deadline: time.Now().Add(time.Second), Depth: 1, Budget: tracker.NewBudget(2)})
				req := httptest.NewRequest(http.MethodGet, "/stock/1", nil)
				req.Header.Set(forwarder.HeaderTicket, ticket)
				status, problem := serveProblem(f.egress, req)
				g.Expect(status).To(Equal(c.want))
				if c.want != http.StatusOK {
					g.Expect(problem.Code).To(Equal(refuser.RegionMissing))
					g.Expect(f.bodies).To(BeEmpty())
				}
			})
		})
	}
}

// TestRegionsOfStoredAnswers guards against the answer to a request with an idempotency key that
// is sent to an owner outside the regions of the request.
func TestRegionsOfStoredAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newRegionFleet(t, map[string]int{"north": 1, "south": 1}, 8, time.Millisecond)
	route := orders("/orders", "south")
	route.Idempotent = false
	f.configure(nil, route)
	status, problem := f.send("/orders/1", "Idempotency-Key", "key-1")
	g.Expect(status).To(Equal(http.StatusOK), "%v", problem)
	g.Expect(f.bodies).To(Equal(map[string][]string{"/orders/1": {"south"}, "settled": {"south"}}))
}

// TestFullRegion answers the load of two regions of which one is full: requests that are bound to
// it are refused as not run and never go abroad, while the others are served abroad. The south
// serves 480 requests a second, of which 900 are bound to it; 300 others arrive there and in the
// north.
func TestFullRegion(t *testing.T) {
	const seconds, bound, free = 4, 900, 300
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newRegionFleet(t, map[string]int{"north": 3, "south": 3}, 8, 50*time.Millisecond)
		f.configure(nil, orders("/bound", "south"), orders("/free"))
		var group sync.WaitGroup
		served, refused := map[string]int{}, map[string]int{}
		send := func(path string, rate int) {
			for i := range seconds * rate {
				group.Go(func() {
					status, problem := f.send(fmt.Sprint(path, "/", i))
					f.mu.Lock()
					defer f.mu.Unlock()
					if status == http.StatusOK {
						served[path]++
						return
					}
					refused[path]++
					g.Expect(problem.Outcome).To(Equal("not run"), "%v", problem)
				})
				time.Sleep(time.Second / time.Duration(rate))
			}
		}
		group.Go(func() { send("/bound", bound) })
		send("/free", free)
		group.Wait()
		t.Logf("served: %v, refused: %v", served, refused)
		for path, regions := range f.bodies {
			if strings.HasPrefix(path, "/bound") {
				g.Expect(regions).NotTo(ContainElement("north"), path)
			}
		}
		const capacity = 480 * seconds
		g.Expect(served["/bound"]).To(BeNumerically(">", capacity*8/10))
		g.Expect(served["/bound"]).To(BeNumerically("<", capacity*11/10))
		g.Expect(served["/free"]).To(BeNumerically(">=", seconds*free*95/100))
	})
}
