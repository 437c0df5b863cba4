package forwarder_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/guard"
)

// TestCallWaitsUntilBarred guards against a call that reaches the upstream although its failure
// domain was evacuated while the call waited for a slot. The one that runs ends undisturbed.
func TestCallWaitsUntilBarred(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.addRoute("orders", true)
	runs, release := newRunCounter(), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	n := m.addNode("orders", func(string) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			runs.add(r.Header.Get("X-Id"))
			<-release
		})
	})
	// The second call stays queued for as long as the test may take to see it there.
	limiter := guard.New(guard.InitialLimit(1), guard.FixedLimit(), guard.TargetDelay(time.Second))
	n.limiter = limiter
	m.join()
	var group sync.WaitGroup
	defer group.Wait()
	// Cleanups close the upstream, which waits for its requests.
	defer unblock()
	var first, second response
	group.Go(func() { first = m.request(http.MethodGet, "/orders", "first", "") })
	g.Eventually(runs.total, 5*time.Second).Should(Equal(1))
	group.Go(func() { second = m.request(http.MethodGet, "/orders", "second", "") })
	g.Eventually(func() uint32 { return limiter.Describe().GetQueued() }, 5*time.Second).Should(Equal(uint32(1)))
	n.barred.Store(true)
	unblock()
	group.Wait()
	g.Expect(first.status).To(Equal(http.StatusOK))
	g.Expect(second.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(runs.count("second")).To(BeZero())
}
