package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestNotRunIsTrueOfAllAttempts sends requests that may run twice to a service
// with one upstream that fails them and two nodes that turn them away. Whatever
// comes last, a request that reached the upstream is never said not to have
// run, and a failure of the upstream is passed on as it is.
func TestNotRunIsTrueOfAllAttempts(t *testing.T) {
	cases := map[string]struct {
		upstream func(l *ledger) func(string) http.Handler
		ran      int
	}{
		"the upstream answers with a failure": {func(l *ledger) func(string) http.Handler {
			return func(string) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					l.add(r.URL.Path)
					w.WriteHeader(http.StatusInternalServerError)
				})
			}
		}, http.StatusInternalServerError},
		"the upstream breaks off": {dropper, http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m, l := newMesh(t), newLedger()
			m.failover = true
			m.route("orders", true)
			m.add("orders", c.upstream(l))
			for range 2 {
				m.add("orders", c.upstream(l)).leaving = true
			}
			m.join()
			for i := range 60 {
				path := fmt.Sprint("/orders/", i)
				status := m.request(http.MethodGet, path, path, "").status
				if l.count(path) > 0 {
					g.Expect(status).To(Equal(c.ran), path)
				} else {
					g.Expect(status).To(Equal(http.StatusServiceUnavailable), path)
				}
			}
		})
	}
}
