package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
	"quetzalhub/schema"
	"quetzalhub/tracker"
)

// localService is the service on the host, or empty if it is not known.
type localService string

func (s localService) LocalService() (string, bool) { return string(s), s != "" }

// callerDialect is a dialect whose requests come from callers.
type callerDialect struct{ forwarder.Native }

func (callerDialect) ParseRequest(*http.Request) (forwarder.RequestInfo, error) {
	return forwarder.RequestInfo{ID: "call", Path: "/list/1", Timeout: time.Second}, nil
}

// admitAll sheds no request.
type admitAll struct{}

func (admitAll) Admit(*forwarder.Call, schema.Class, uint32) error { return nil }
func (admitAll) ObserveCall(*forwarder.Call)                       {}

// TestOriginOfCalls guards against calls that carry the name of another service than the one
// on the host: while it is not known, only calls of a request that runs there are sent on.
func TestOriginOfCalls(t *testing.T) {
	const parentService = "orders"
	cases := map[string]struct {
		local localService
		// nested makes the call one of an active request whose deadline it has if certain.
		nested, certain bool
		origin          string
	}{
		"known":                               {local: "stock", origin: "stock"},
		"unknown":                             {},
		"of an active request":                {local: "stock", nested: true, certain: true, origin: parentService},
		"of an active request, unknown":       {nested: true, certain: true, origin: parentService},
		"maybe of an active request":          {local: "stock", nested: true, origin: "stock"},
		"maybe of an active request, unknown": {nested: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				options := forwarder.EntryOptions{Origin: c.local, Dialect: callerDialect{}, LoadShedder: admitAll{}}
				if c.nested {
					timeout := time.Second
					if !c.certain {
						timeout = 500 * time.Millisecond
					}
					active := &tracker.Tracker{}
					active.Open(&tracker.Request{ID: "request", Service: parentService, Deadline: time.Now().Add(time.Second), Budget: tracker.NewBudget(0)})
					options.Parents, options.Dialect = active, ticketlessDialect{timeout: timeout}
				}
				entry, sent := newListEntry(g, options)
				answer := httptest.NewRecorder()
				entry.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/list/1", nil))
				if c.origin == "" {
					g.Expect(sent.envelope).To(BeNil())
					g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
					g.Expect(answer.Body.String()).To(ContainSubstring("1020"))
					return
				}
				g.Expect(sent.envelope.GetOrigin()).To(Equal(c.origin))
			})
		})
	}
}
