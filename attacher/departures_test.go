package attacher

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/supervisor"
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

// fakeUpstream states what it is told to.
type fakeUpstream struct {
	memory           *witness.Witness
	mu               sync.Mutex
	stated, recalled supervisor.Statement
}

func (u *fakeUpstream) Stated() supervisor.Statement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stated
}

func (u *fakeUpstream) Recall(s supervisor.Statement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recalled = s
}

func (u *fakeUpstream) RecallDeparture(id string, born int64) { u.memory.RecordDeparture(id, born) }

func (u *fakeUpstream) state(s supervisor.Statement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stated = s
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
						directory: directory, upstream: &fakeUpstream{memory: w}, reporter: reporter.New(io.Discard, self.Name, log.InfoLevel), self: self, started: time.Now(), writing: make(chan struct{}, 1),
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

// TestStatementOutlivesProcesses guards against a restarted node that does not know the
// instance of its service, against one that overwrites what earlier processes have kept, and
// against writes that tell the platform nothing new.
func TestStatementOutlivesProcesses(t *testing.T) {
	a, b := supervisor.Statement{ID: "i-a", Born: 5, Service: "orders"}, supervisor.Statement{ID: "i-b", Born: 7, Service: "orders"}
	self := Entry{Name: "node-1", Address: "10.0.0.1:7000"}
	cases := map[string]struct {
		before Entry
		// down is the time for which the platform is away.
		down   time.Duration
		stated []supervisor.Statement
		left   Departure
		writes int
		after  Entry
	}{
		"first report":       {Entry{}, 0, []supervisor.Statement{a}, Departure{}, 1, Entry{Stated: a}},
		"no report":          {Entry{Stated: a, Left: Departure{"i-0", 3}}, 0, nil, Departure{}, 0, Entry{Stated: a, Left: Departure{"i-0", 3}}},
		"the same again":     {Entry{Stated: a, Left: Departure{"i-0", 3}}, 0, []supervisor.Statement{a}, Departure{}, 0, Entry{Stated: a, Left: Departure{"i-0", 3}}},
		"another instance":   {Entry{Stated: a, Left: Departure{"i-0", 3}}, 0, []supervisor.Statement{b}, Departure{}, 1, Entry{Stated: b, Left: Departure{"i-0", 3}}},
		"two instances":      {Entry{}, 0, []supervisor.Statement{a, b}, Departure{}, 2, Entry{Stated: b}},
		"platform away":      {Entry{Left: Departure{"i-0", 3}}, 5 * time.Second, []supervisor.Statement{a}, Departure{}, 1, Entry{Stated: a, Left: Departure{"i-0", 3}}},
		"left while away":    {Entry{}, 5 * time.Second, []supervisor.Statement{a}, Departure{"i-a", 5}, 1, Entry{Stated: a, Left: Departure{"i-a", 5}}},
		"left, not reported": {Entry{Stated: a}, 0, nil, Departure{"i-a", 5}, 1, Entry{Stated: a, Left: Departure{"i-a", 5}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c.before.Name, c.before.Address = self.Name, self.Address
				c.after.Name, c.after.Address = self.Name, self.Address
				fake := &fakeDirectory{entries: map[string]Entry{self.Name: c.before}, down: c.down > 0}
				time.AfterFunc(c.down, func() { fake.set(func(d *fakeDirectory) { d.down = false }) })
				upstream := &fakeUpstream{memory: witness.New()}
				d := &departures{
					directory: fake, upstream: upstream, reporter: reporter.Discard{}, self: self, started: time.Now(), writing: make(chan struct{}, 1),
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				d.recall(ctx)
				go d.run(ctx)
				if c.down == 0 {
					g.Expect(upstream.recalled).To(Equal(c.before.Stated))
				}
				for _, s := range c.stated {
					upstream.state(s)
					time.Sleep(2 * statementPollInterval)
				}
				if c.left.ID != "" {
					d.Keep(ctx, c.left)
				}
				time.Sleep(20 * time.Second)
				fake.set(func(f *fakeDirectory) {
					g.Expect(f.writes).To(Equal(c.writes))
					g.Expect(f.entries[self.Name]).To(Equal(c.after))
				})
			})
		})
	}
}
