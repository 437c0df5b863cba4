package attacher

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/witness"
)

// silentDirectory is a directory that does not answer.
type silentDirectory struct{ *fakeDirectory }

func (silentDirectory) Update(ctx context.Context, _ Entry) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentDirectory) Entry(ctx context.Context, _ string) (Entry, error) {
	<-ctx.Done()
	return Entry{}, ctx.Err()
}

// TestDeparturesOutliveProcesses guards against a node that forgets that its upstream has
// left, and against one that waits for a platform that is away: the upstream must get its
// acknowledgement within a second, and requests their upstream.
func TestDeparturesOutliveProcesses(t *testing.T) {
	left := Departure{"i-1", 5}
	self := Entry{Name: "node-1", Address: "10.0.0.1:7000"}
	cases := map[string]struct {
		down, silent bool
		// kept is what the next process of the node recalls.
		kept bool
	}{
		"platform in order": {kept: true},
		"platform down":     {down: true},
		"platform silent":   {silent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fake := &fakeDirectory{entries: map[string]Entry{self.Name: self}, down: c.down}
				var directory Directory = fake
				if c.silent {
					directory = silentDirectory{fake}
				}
				start := func() (*departures, *witness.Witness) {
					w := witness.New()
					return &departures{
						directory: directory, memory: w, refresh: func() {}, reporter: reporter.New(io.Discard, self.Name, log.InfoLevel), self: self, started: time.Now(),
					}, w
				}
				before, _ := start()
				begun := time.Now()
				before.Keep(t.Context(), left)
				before.Keep(t.Context(), left)
				g.Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
				g.Expect(fake.writes).To(BeNumerically("<=", 1), "each call is charged")

				after, memory := start()
				upstreams := &recalledUpstreams{readyUpstreams{}, after}
				_, code := upstreams.UpstreamFor("orders")
				g.Expect(code).To(Equal(refuser.EndpointMissing), "not known yet")
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				after.recall(ctx)
				_, code = upstreams.UpstreamFor("orders")
				g.Expect(code).To(Equal(refuser.None))
				g.Expect(memory.Departed(left.ID, left.Born)).To(Equal(c.kept))
				if c.kept {
					g.Expect(after.entry().Left).To(Equal(left), "written again if the platform loses it")
				}
			})
		})
	}
}
