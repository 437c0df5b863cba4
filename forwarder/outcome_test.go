package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestNotRunIsTrueOfAllAttempts guards against reporting a request as not run
// because its last attempt was refused, although an earlier one reached the
// upstream. Idempotent requests go to a service with one failing upstream and two
// draining nodes. A server error of the upstream is returned unchanged.
func TestNotRunIsTrueOfAllAttempts(t *testing.T) {
	cases := map[string]struct {
		upstream    func(runs *runCounter) func(string) http.Handler
		statusIfRan int
	}{
		"the upstream returns a server error": {func(runs *runCounter) func(string) http.Handler {
			return func(string) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					runs.add(r.URL.Path)
					w.WriteHeader(http.StatusInternalServerError)
				})
			}
		}, http.StatusInternalServerError},
		"the upstream closes the connection": {abortingHandler, http.StatusBadGateway},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m, runs := newMesh(t), newRunCounter()
			m.failover = true
			m.addRoute("orders", true)
			m.addNode("orders", c.upstream(runs))
			for range 2 {
				m.addNode("orders", c.upstream(runs)).draining = true
			}
			m.join()
			for i := range 60 {
				path := fmt.Sprint("/orders/", i)
				status := m.request(http.MethodGet, path, path, "").status
				if runs.count(path) > 0 {
					g.Expect(status).To(Equal(c.statusIfRan), path)
				} else {
					g.Expect(status).To(Equal(http.StatusServiceUnavailable), path)
				}
			}
		})
	}
}
