package attacher

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"quetzalhub/beaconer"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/witness"
)

// fakeDirectory is a directory that can lose its entries.
type fakeDirectory struct {
	mu      sync.Mutex
	entries map[string]Entry
	down    bool
	writes  int
	// latest counts the reads of the latest data.
	latest int
	// reads counts the reads of a single entry.
	reads    int
	restored chan uint64
}

func (d *fakeDirectory) Register(_ context.Context, e Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return errors.New("down")
	}
	d.writes++
	d.entries[e.Name] = e
	return nil
}

func (d *fakeDirectory) Sample(ctx context.Context) ([]Entry, bool, error) {
	entries, _, err := d.List(ctx, Latest)
	return entries, true, err
}

func (d *fakeDirectory) List(_ context.Context, f Freshness) ([]Entry, int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f == Latest {
		d.latest++
	}
	var entries []Entry
	for _, e := range d.entries {
		entries = append(entries, e)
	}
	return entries, 0, nil
}

func (d *fakeDirectory) Update(ctx context.Context, e Entry) error { return d.Register(ctx, e) }

func (d *fakeDirectory) Entry(_ context.Context, name string) (Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return Entry{}, errors.New("down")
	}
	d.reads++
	if e, ok := d.entries[name]; ok {
		return e, nil
	}
	return Entry{}, storer.ErrMissing
}

func (d *fakeDirectory) Deregister(context.Context, string) error { return nil }

func (d *fakeDirectory) Restored() <-chan uint64 { return d.restored }

// set changes the directory.
func (d *fakeDirectory) set(change func(d *fakeDirectory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// recordingTransport records the addresses that receive beacons.
type recordingTransport struct {
	mu       sync.Mutex
	received map[string]bool
}

func (t *recordingTransport) Send(address string, _ []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received[address] = true
}

func (t *recordingTransport) reached(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received[address]
}

// startRegistrar runs a registrar and its beaconer, and returns a function that stops them.
func startRegistrar(d *fakeDirectory, b *beaconer.Beaconer, self Entry) (stop func()) {
	logger := reporter.New(io.Discard, self.Name, log.InfoLevel)
	r := &registrar{d, b, logger, &departures{directory: d, upstream: &fakeUpstream{memory: witness.New()}, reporter: logger, self: self, writing: make(chan struct{}, 1)}, func() {}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.run(ctx) })
	group.Go(func() { b.Run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// TestRegistrationAfterRestore guards against new nodes that find nobody in the
// directory: an entry that the platform acknowledged is gone once the platform has come
// back from a copy older than it, and must be written again. Nodes that registered
// meanwhile found a short list, so the others must look for them.
func TestRegistrationAfterRestore(t *testing.T) {
	newcomer := Entry{Name: "node-9", Address: "10.0.0.9:7000"}
	cases := map[string]struct {
		restore func(d *fakeDirectory)
		// later is done half a second after the restore.
		later func(d *fakeDirectory)
	}{
		"all entries lost": {
			restore: func(d *fakeDirectory) { d.entries = map[string]Entry{newcomer.Name: newcomer}; d.restored <- 2 },
		},
		"newcomer before the return was noticed": {
			restore: func(d *fakeDirectory) { d.entries = map[string]Entry{newcomer.Name: newcomer} },
			later:   func(d *fakeDirectory) { d.restored <- 2 },
		},
		"refused for some time after the return": {
			restore: func(d *fakeDirectory) {
				d.entries, d.down = map[string]Entry{newcomer.Name: newcomer}, true
				d.restored <- 2
			},
			later: func(d *fakeDirectory) { d.down = false },
		},
		"twice": {
			restore: func(d *fakeDirectory) { d.entries = map[string]Entry{}; d.restored <- 2 },
			later:   func(d *fakeDirectory) { d.entries = map[string]Entry{newcomer.Name: newcomer}; d.restored <- 3 },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := &fakeDirectory{entries: map[string]Entry{}, restored: make(chan uint64, 1)}
				transport := &recordingTransport{received: map[string]bool{}}
				b := beaconer.New(&schema.Member{Name: "node-1", Beacon: "10.0.0.1:7000"}, transport, noopBeacons{}, time.Second)
				self := Entry{Name: "node-1", Address: "10.0.0.1:7000"}
				defer startRegistrar(d, b, self)()
				time.Sleep(time.Minute)
				d.set(func(d *fakeDirectory) { g.Expect(d.writes).To(Equal(1)) })
				d.set(c.restore)
				time.Sleep(500 * time.Millisecond)
				if c.later != nil {
					d.set(c.later)
				}
				time.Sleep(2 * time.Second)
				d.set(func(d *fakeDirectory) { g.Expect(d.entries).To(HaveKeyWithValue("node-1", self)) })
				g.Expect(transport.reached(newcomer.Address)).To(BeTrue())
				time.Sleep(time.Minute)
				d.set(func(d *fakeDirectory) { g.Expect(d.writes).To(BeNumerically("<=", 3), "each call is charged") })
			})
		})
	}
}

// TestCallsOfStart guards against starts of nodes that cost the platform many calls: after a
// loss of power all nodes of a large fleet start at once, and each page of the directory is
// a call. A node that has started before makes no write, and no call for the latest data but
// one for its own entry.
func TestCallsOfStart(t *testing.T) {
	self, other := Entry{Name: "node-1", Address: "10.0.0.1:7000"}, Entry{Name: "node-2", Address: "10.0.0.2:7000"}
	cases := map[string]struct {
		entries []Entry
		// reads are those of the node's own entry, for what an earlier process kept there.
		writes, latest, reads int
	}{
		"first start":   {[]Entry{other}, 1, 1, 0},
		"restart":       {[]Entry{self, other}, 0, 0, 1},
		"other address": {[]Entry{{Name: "node-1", Address: "10.0.0.7:7000"}, other}, 1, 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := &fakeDirectory{entries: map[string]Entry{}, restored: make(chan uint64, 1)}
				for _, e := range c.entries {
					d.entries[e.Name] = e
				}
				transport := &recordingTransport{received: map[string]bool{}}
				b := beaconer.New(&schema.Member{Name: self.Name, Beacon: self.Address}, transport, noopBeacons{}, time.Second)
				defer startRegistrar(d, b, self)()
				time.Sleep(time.Minute)
				d.set(func(d *fakeDirectory) {
					g.Expect(d.entries).To(HaveKeyWithValue(self.Name, self))
					g.Expect(d.writes).To(Equal(c.writes))
					g.Expect(d.latest).To(Equal(c.latest))
					g.Expect(d.reads).To(Equal(c.reads))
				})
				g.Expect(transport.reached(other.Address)).To(BeTrue())
				g.Expect(b.View().Known).To(Equal(2))
			})
		})
	}
}
