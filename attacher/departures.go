package attacher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/forwarder"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/supervisor"
	"quetzalhub/witness"
)

const (
	// keepTimeout bounds the wait for a departure to be kept. An upstream that gets no
	// acknowledgement within a second turns to another node.
	keepTimeout = 400 * time.Millisecond
	// recallTimeout is the time after its start until which a node does not use its
	// upstream while it cannot read what it has kept of it.
	recallTimeout = 600 * time.Millisecond
)

// departures keeps the departure of the upstream beside this node in the directory entry of
// the node. Other nodes remember it too, but all nodes may end at the same time.
type departures struct {
	directory Directory
	memory    supervisor.Memory
	// refresh applies what the memory holds to the upstream.
	refresh  func()
	reporter supervisor.Reporter
	// recalled is true once the entry has been read or can't be read.
	recalled atomic.Bool
	started  time.Time

	mu   sync.Mutex
	self Entry
	// kept is the departure that the platform has acknowledged.
	kept Departure
}

func newDepartures(s *schema.Settings, p *Platform, w *witness.Witness, st *supervisor.Supervisor, r *reporter.Reporter) *departures {
	self := Entry{Name: s.GetNode().GetName(), Address: s.GetNode().GetBeacon()}
	return &departures{directory: p.Directory, memory: w, refresh: st.Refresh, reporter: r, self: self, started: time.Now()}
}

// entry returns the directory entry of this node.
func (d *departures) entry() Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Keep writes a departure to the directory. It returns without an acknowledgement of the
// platform after keepTimeout.
func (d *departures) Keep(ctx context.Context, left Departure) {
	d.mu.Lock()
	if d.kept == left {
		d.mu.Unlock()
		return
	}
	d.self.Left = left
	entry := d.self
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := d.directory.Update(ctx, entry); err != nil {
		d.reporter.Notice("departure_not_kept", "upstream", left.ID, "born", left.Born, "err", err)
		return
	}
	d.mu.Lock()
	d.kept = left
	d.mu.Unlock()
}

// recall reads the departure that an earlier process of this node has kept.
func (d *departures) recall(ctx context.Context) {
	defer d.recalled.Store(true)
	entry, err := d.directory.Entry(ctx, d.entry().Name)
	if err != nil {
		if !errors.Is(err, storer.ErrMissing) {
			d.reporter.Notice("departure_not_recalled", "err", err)
		}
		return
	}
	if entry.Left.ID == "" {
		return
	}
	d.mu.Lock()
	if d.self.Left.ID == "" {
		d.self.Left, d.kept = entry.Left, entry.Left
	}
	d.mu.Unlock()
	d.memory.RecordDeparture(entry.Left.ID, entry.Left.Born)
	d.refresh()
	d.reporter.Notice("departure_recalled", "upstream", entry.Left.ID, "born", entry.Left.Born)
}

// known reports whether the departures of earlier processes are known, or can't be soon.
func (d *departures) known() bool {
	return d.recalled.Load() || time.Since(d.started) > recallTimeout
}

// recalledUpstreams accepts no calls until the departures of earlier processes are known.
type recalledUpstreams struct {
	forwarder.Upstreams
	departures *departures
}

// UpstreamFor returns the code EndpointMissing until the departures are known.
func (u *recalledUpstreams) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	if !u.departures.known() {
		return forwarder.Upstream{}, refuser.EndpointMissing
	}
	return u.Upstreams.UpstreamFor(service)
}
