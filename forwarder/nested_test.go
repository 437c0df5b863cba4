package forwarder_test

import (
	"context"
	"encoding/base64"
	"errors"
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/balancer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
)

// ticketlessDialect is a dialect whose upstreams do not forward tickets.
type ticketlessDialect struct {
	forwarder.Native
	timeout time.Duration
}

func (d ticketlessDialect) ParseRequest(*http.Request) (forwarder.RequestInfo, error) {
	return forwarder.RequestInfo{ID: "call", Path: "/list/1", Timeout: d.timeout, Nested: true}, nil
}

// rejectAll sheds every request at the entry.
type rejectAll struct{}

func (rejectAll) Admit(*forwarder.Call, schema.Class, uint32) error {
	return &refuser.Error{Code: refuser.ShedAtEntry}
}

func (rejectAll) ObserveCall(*forwarder.Call) {}

// singleNode is a member table with one node.
type singleNode struct{ view *gossiper.View }

func (s singleNode) View() *gossiper.View                          { return s.view }
func (singleNode) Identity() (string, uint64)                      { return "entry", 1 }
func (singleNode) RecordRequest(string, string, bool)              {}
func (singleNode) AllowRetry(context.Context, string, string) bool { return false }
func (singleNode) Fresh() bool                                     { return true }

// envelopeRecorder stores the envelope of the last request that was sent.
type envelopeRecorder struct{ envelope *schema.Envelope }

func (e *envelopeRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	data, err := base64.RawStdEncoding.DecodeString(r.Header.Get("Quetzal-Envelope"))
	if err != nil {
		return nil, err
	}
	e.envelope = &schema.Envelope{}
	return nil, errors.Join(proto.Unmarshal(data, e.envelope), errors.New("no network"))
}

// newListEntry returns an entry with a route to the service list, and what records the
// requests that it sends.
func newListEntry(g *WithT, o forwarder.EntryOptions) (*forwarder.Entry, *envelopeRecorder) {
	raw, err := proto.Marshal(&schema.State{Version: 1, Config: &schema.Config{Routes: []*schema.Route{
		{Prefix: "/list", Service: "list", Class: schema.Class_CLASS_LOW, Open: true},
	}}})
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := resolver.Compile(raw)
	g.Expect(err).NotTo(HaveOccurred())
	member := &schema.Member{
		Name: "node", Status: schema.Status_STATUS_ALIVE, Address: "127.0.0.1:1",
		Endpoints: []*schema.Endpoint{{Service: "list", Phase: schema.Phase_PHASE_READY, Limit: 4}},
	}
	fleet := singleNode{gossiper.NewView(map[string]*schema.Member{"node": member})}
	sent := &envelopeRecorder{}
	o.DefaultTimeout, o.MaxBodyBytes, o.State = time.Second, 1<<10, fixedState{singleNode{}, snapshot}
	o.Refuser, o.Reporter = refuser.New(new(expvar.Map)), reporter.Discard{}
	o.Dispatcher = forwarder.NewDispatcher(forwarder.DispatcherOptions{
		Identity: fleet, Picker: balancer.New(fleet, ""), RetryThrottler: fleet, Transport: sent,
		CheckInterval: time.Second, RetryCounts: new(expvar.Map), Reporter: reporter.Discard{},
	})
	return forwarder.NewEntry(o), sent
}

// TestNestedCallsAreNotShed guards against shedding calls of active requests at
// the entry. That happens when the last service of a path is overloaded and
// calls have deadlines of their own. The entry sheds all requests of callers, but
// forwards calls with the class of their request and their own deadline.
func TestNestedCallsAreNotShed(t *testing.T) {
	cases := map[string]struct {
		timeout        time.Duration
		parentTimeLeft time.Duration
		// sentTimeLeft is the time left in the envelope of the call, or 0 if no call
		// is sent.
		sentTimeLeft time.Duration
	}{
		"deadline before that of the request": {600 * time.Millisecond, time.Second, 600 * time.Millisecond},
		"same deadline as the request":        {time.Second, time.Second, time.Second},
		"no active request":                   {time.Second, 0, 0},
		"deadline after that of the request":  {3 * time.Second, time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				active := &tracker.Tracker{}
				if c.parentTimeLeft > 0 {
					active.Open(&tracker.Request{
						ID: "request", Class: schema.Class_CLASS_CRITICAL, Deadline: time.Now().Add(c.parentTimeLeft), Budget: tracker.NewBudget(0),
					})
				}
				entry, sent := newListEntry(g, forwarder.EntryOptions{Dialect: ticketlessDialect{timeout: c.timeout}, LoadShedder: rejectAll{}, Parents: active})
				entry.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/list/1", nil))
				if c.sentTimeLeft == 0 {
					g.Expect(sent.envelope).To(BeNil())
					return
				}
				g.Expect(sent.envelope.GetLeft().AsDuration()).To(Equal(c.sentTimeLeft))
				g.Expect(sent.envelope.GetClass()).To(Equal(schema.Class_CLASS_CRITICAL))
			})
		})
	}
}

// fixedState is a configuration that does not change.
type fixedState struct {
	singleNode
	snapshot *resolver.Snapshot
}

func (f fixedState) Snapshot() *resolver.Snapshot { return f.snapshot }
