package attacher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhub/forwarder"
	"quetzalhub/refuser"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/storer"
	"quetzalhub/supervisor"
)

const (
	// keepTimeout bounds the wait for a departure to be kept. An upstream that gets no
	// acknowledgement within a second turns to another node.
	keepTimeout = 400 * time.Millisecond
	// recallTimeout is the time after its start until which a node does not use its
	// upstream while it cannot read what it has kept of it.
	recallTimeout = 600 * time.Millisecond
	// statementPollInterval is the interval for checking whether the upstream has stated
	// something that is not kept yet.
	statementPollInterval = 100 * time.Millisecond
)

// statedUpstream is the upstream beside this node, of which an earlier process may have
// kept something.
type statedUpstream interface {
	Stated() supervisor.Statement
	Recall(supervisor.Statement)
	RecallDeparture(id string, born int64)
}

// departures keeps the departure of the upstream beside this node in the directory entry of
// the node. Other nodes remember it too, but all nodes may end at the same time. It also
// keeps what the upstream has stated about itself, so that a restarted node knows which
// instance belongs to its service before the next report.
type departures struct {
	directory Directory
	upstream  statedUpstream
	reporter  supervisor.Reporter
	// recalled is true once the entry has been read or can't be read.
	recalled atomic.Bool
	started  time.Time
	// writing holds a value while the entry is written.
	writing chan struct{}

	mu   sync.Mutex
	self Entry
	// kept is the content of the entry that the platform has acknowledged.
	kept Entry
	// isRead is true once the content of the entry before this process is known.
	isRead bool
	// isDelisted is true once the entry has been removed, since the upstream has left.
	isDelisted bool
}

func newDepartures(s *schema.Settings, p *Platform, st *supervisor.Supervisor, r *reporter.Reporter) *departures {
	self := Entry{Name: s.GetNode().GetName(), Address: s.GetNode().GetBeacon()}
	return &departures{directory: p.Directory, upstream: st, reporter: r, self: self, started: time.Now(), writing: make(chan struct{}, 1)}
}

// run keeps what the upstream has stated until the context ends.
func (d *departures) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		sleep(ctx, statementPollInterval)
		if err := d.keepStatement(ctx); err != nil {
			d.reporter.Notice("statement_not_kept", "err", err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// keepStatement writes the entry if the platform doesn't have the last statement of the
// upstream, or its last departure. What an earlier process has kept is read first.
func (d *departures) keepStatement(ctx context.Context) error {
	stated := d.upstream.Stated()
	d.mu.Lock()
	if stated.ID != "" {
		d.self.Stated = stated
	}
	isKept, isRead := d.kept.Stated == d.self.Stated && d.kept.Left == d.self.Left, d.isRead
	d.mu.Unlock()
	if isKept {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if !isRead {
		if err := d.read(ctx); err != nil {
			return err
		}
	}
	return d.write(ctx)
}

// write writes the entry, one write at a time.
func (d *departures) write(ctx context.Context) error {
	select {
	case d.writing <- struct{}{}:
		defer func() { <-d.writing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	d.mu.Lock()
	entry, isDelisted := d.self, d.isDelisted
	d.mu.Unlock()
	if isDelisted {
		return nil
	}
	if err := d.directory.Update(ctx, entry); err != nil {
		return err
	}
	d.mu.Lock()
	d.kept = entry
	d.mu.Unlock()
	return nil
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
	if d.kept.Left == left {
		d.mu.Unlock()
		return
	}
	d.self.Left = left
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := d.write(ctx); err != nil {
		d.reporter.Notice("departure_not_kept", "upstream", left.ID, "born", left.Born, "err", err)
	}
}

// recall reads what an earlier process of this node has kept.
func (d *departures) recall(ctx context.Context) {
	defer d.recalled.Store(true)
	if err := d.read(ctx); err != nil {
		d.reporter.Notice("departure_not_recalled", "err", err)
	}
}

// read reads the entry that an earlier process of this node has written, and applies its
// content unless this process knows later content.
func (d *departures) read(ctx context.Context) error {
	entry, err := d.directory.Entry(ctx, d.entry().Name)
	if err != nil && !errors.Is(err, storer.ErrMissing) {
		return err
	}
	d.mu.Lock()
	d.isRead = true
	d.kept.Left, d.kept.Stated = entry.Left, entry.Stated
	if d.self.Left.ID == "" {
		d.self.Left = entry.Left
	}
	if d.self.Stated.ID == "" {
		d.self.Stated = entry.Stated
	}
	d.mu.Unlock()
	if entry.Left.ID != "" {
		d.upstream.RecallDeparture(entry.Left.ID, entry.Left.Born)
		d.reporter.Notice("departure_recalled", "upstream", entry.Left.ID, "born", entry.Left.Born)
	}
	if entry.Stated.ID != "" {
		d.upstream.Recall(entry.Stated)
		d.reporter.Notice("upstream_recalled", "upstream", entry.Stated.ID, "born", entry.Stated.Born, "service", entry.Stated.Service)
	}
	return nil
}

// delist removes the entry for good.
func (d *departures) delist(ctx context.Context) error {
	d.mu.Lock()
	d.isDelisted = true
	name := d.self.Name
	d.mu.Unlock()
	return d.directory.Deregister(ctx, name)
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
