package forwarder_test

import (
	"context"
	"encoding/base64"
	"expvar"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/balancer"
	"quetzalhub/forwarder"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/tracker"
)

// slowChecker finds each attempt done, after a delay.
type slowChecker struct{ delay time.Duration }

func (c slowChecker) Check(context.Context, string, *schema.CheckRequest) (schema.Progress, error) {
	time.Sleep(c.delay)
	return schema.Progress_PROGRESS_DONE, nil
}

// slowTransport answers a request after headDelay, with a body of length bytes of which it
// gives one per interval until the context of the request ends.
type slowTransport struct {
	headDelay, interval time.Duration
	length              int
	report              string
}

func (s slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-time.After(s.headDelay):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Quetzal-Report": {s.report}}, ContentLength: int64(s.length),
		Body: &slowBody{req.Context(), s.interval, s.length},
	}, nil
}

type slowBody struct {
	ctx      context.Context
	interval time.Duration
	left     int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.interval):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.left--
	return copy(p, "b"), nil
}

func (*slowBody) Close() error { return nil }

// encodedReport returns a report as the header of a response carries it.
func encodedReport(t *testing.T, o schema.Outcome) string {
	data, err := proto.Marshal(&schema.Report{Outcome: o})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return base64.RawStdEncoding.EncodeToString(data)
}

// TestChecksEndWithResponse guards against an answer that is cut under a slow reader because a
// check of the attempt was under way when the answer began, and the checks went on after it.
func TestChecksEndWithResponse(t *testing.T) {
	cases := map[string]struct{ headDelay, checkDelay time.Duration }{
		"head before the first check": {100 * time.Millisecond, 10 * time.Millisecond},
		"head during the first check": {350 * time.Millisecond, 200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				member := &schema.Member{
					Name: "node", Status: schema.Status_STATUS_ALIVE, Address: "127.0.0.1:1",
					Endpoints: []*schema.Endpoint{{Service: "list", Phase: schema.Phase_PHASE_READY, Limit: 4}},
				}
				fleet := singleNode{gossiper.NewView(map[string]*schema.Member{"node": member})}
				d := forwarder.NewDispatcher(forwarder.DispatcherOptions{
					Identity: fleet, Picker: balancer.New(fleet, ""), RetryThrottler: fleet, Checker: slowChecker{c.checkDelay},
					Transport:     slowTransport{c.headDelay, 100 * time.Millisecond, 20, encodedReport(t, schema.Outcome_OUTCOME_ANSWERED)},
					CheckInterval: 200 * time.Millisecond, RetryCounts: new(expvar.Map), Reporter: reporter.Discard{},
				})
				resp, err := d.Do(t.Context(), &forwarder.Call{
					Parent: &tracker.Request{ID: "request", Deadline: time.Now().Add(10 * time.Second), Budget: tracker.NewBudget(0)},
					Route:  &resolver.Route{Name: "list"}, Service: "list", Method: http.MethodGet, URL: &url.URL{Path: "/list/1"}, Header: http.Header{},
				})
				g.Expect(err).NotTo(HaveOccurred())
				text, err := io.ReadAll(resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
				g.Expect(string(text)).To(Equal(strings.Repeat("b", 20)))
			})
		})
	}
}
