package reporter_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"quetzalhub/reporter"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedWriterDropsLines logs while the writer is blocked. Logging must not
// delay requests: calls return at once, and the dropped lines are counted.
func TestBlockedWriterDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &blockedWriter{make(chan struct{})}
		r := reporter.New(w, "node-1", log.InfoLevel)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { r.Run(ctx) })
		started := time.Now()
		for range 5000 {
			r.Notice("changed")
		}
		g.Expect(time.Since(started)).To(BeZero())
		g.Expect(r.Dropped()).To(BeNumerically(">=", 4000))
		close(w.release)
		cancel()
		group.Wait()
	})
}

// TestEventLinesAreRateLimited logs 300 lines of one event at once. Only a limited
// number may be written, other events are not affected, and the next line of the
// event carries the number of omitted lines.
func TestEventLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		r := reporter.New(&out, "node-1", log.InfoLevel)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { r.Run(ctx) })
		for range 300 {
			r.Event("refused", "request", "a")
		}
		r.Event("failed", "request", "b")
		time.Sleep(1100 * time.Millisecond)
		r.Event("refused", "request", "c")
		time.Sleep(100 * time.Millisecond)
		cancel()
		group.Wait()
		g.Expect(strings.Count(out.String(), "request=a")).To(BeNumerically("<=", 50))
		g.Expect(out.String()).To(ContainSubstring("request=b"))
		g.Expect(out.String()).To(MatchRegexp("request=c left_out=2[0-9][0-9]"))
	})
}
