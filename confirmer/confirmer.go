// Package confirmer holds the fleet state of a node and tracks when the state was
// last confirmed.
//
// A node may serve keyed requests only while its state is fresh. State is fresh
// if it is known to include every write that the platform accepted more than the
// freshness period ago. There are two ways to know:
//
//   - the platform confirmed the version, to this node or to a node that passed
//     the confirmation on (a confirmation, with its age);
//   - a node in every failure domain answered and none held a newer version, so
//     that the platform is unreachable for all of them (a contact per failure
//     domain, with its age).
//
// Ages are measured from the time a request was sent, so network delays only make
// the state look older than it is.
//
// # Usage
//
//	c := confirmer.New("south", 5 * time.Second)
//	c.Apply(raw)                  // a state read from the platform or a peer
//	c.Confirm(version, sentAt)    // the platform answered "unchanged"
//	c.Observe(stamp, "north", sentAt) // a node of domain north answered
//	if c.Fresh() { ... }
package confirmer

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// Change describes the transition from one state to the next.
type Change struct {
	// Old is nil for the first state.
	Old *resolver.Snapshot
	New *resolver.Snapshot
	// OldValidUntil is the time until which a node that has not received the new
	// state may use rights of the old one.
	OldValidUntil time.Time
}

// ChangeListener is called for each new state, in order.
type ChangeListener func(Change)

// RestoreListener is called when stale state becomes fresh again, before keyed
// requests are served again.
type RestoreListener func()

// Confirmer holds the fleet state of a node and its freshness.
type Confirmer struct {
	domain          string
	freshnessPeriod time.Duration
	// origin is the reference time of freshUntil.
	origin time.Time

	snapshot atomic.Pointer[resolver.Snapshot]
	// freshUntil is the time at which the state becomes stale, in nanoseconds
	// since origin.
	freshUntil atomic.Int64

	mu sync.Mutex
	// confirmed is the latest time for which a confirmation by the platform is
	// known.
	confirmed time.Time
	// contacts holds the time of the latest contact with each failure domain.
	contacts         map[string]time.Time
	changeListeners  []ChangeListener
	restoreListeners []RestoreListener
}

// New returns a Confirmer without a state, for a node of the given failure domain
// and with the given freshness period.
func New(domain string, period time.Duration) *Confirmer {
	return &Confirmer{domain: domain, freshnessPeriod: period, origin: time.Now(), contacts: map[string]time.Time{}}
}

// OnChange adds a listener for new states. It must be called before the first
// Apply.
func (c *Confirmer) OnChange(l ChangeListener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changeListeners = append(c.changeListeners, l)
}

// OnFreshnessRestored adds a listener for the return of freshness. It must be
// called before the first Apply.
func (c *Confirmer) OnFreshnessRestored(l RestoreListener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restoreListeners = append(c.restoreListeners, l)
}

// Snapshot returns the current state, or nil.
func (c *Confirmer) Snapshot() *resolver.Snapshot { return c.snapshot.Load() }

// Version returns the version of the current state, or zero.
func (c *Confirmer) Version() uint64 {
	if s := c.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// Apply stores a state if it is newer than the current one, and reports whether it
// did. The version never decreases.
func (c *Confirmer) Apply(raw []byte) (bool, error) {
	next, err := resolver.Compile(raw)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.snapshot.Load()
	if old != nil && next.Version() <= old.Version() {
		return false, nil
	}
	change := Change{Old: old, New: next, OldValidUntil: c.coveredUntil().Add(c.freshnessPeriod)}
	c.snapshot.Store(next)
	for _, l := range c.changeListeners {
		l(change)
	}
	c.updateFreshness()
	return true, nil
}

// Confirm records that the given version was still the platform's current one at
// some time not before at.
func (c *Confirmer) Confirm(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.Version() || c.snapshot.Load() == nil {
		return
	}
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	c.updateFreshness()
}

// Observe records the stamp of a node in a failure domain that answered a request
// sent at the given time.
func (c *Confirmer) Observe(stamp *schema.Stamp, domain string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot.Load() == nil || stamp.GetVersion() > c.Version() {
		return
	}
	if stamp.GetAge() != nil {
		c.advance(&c.confirmed, sent.Add(-stamp.GetAge().AsDuration()))
	}
	c.recordContact(domain, sent)
	for _, contact := range stamp.GetContacts() {
		c.recordContact(contact.GetDomain(), sent.Add(-contact.GetAge().AsDuration()))
	}
	c.updateFreshness()
}

func (c *Confirmer) advance(t *time.Time, to time.Time) {
	if to.After(*t) {
		*t = to
	}
}

func (c *Confirmer) recordContact(domain string, at time.Time) {
	if at.After(c.contacts[domain]) {
		c.contacts[domain] = at
	}
}

// coveredUntil returns the latest time such that the state includes all writes
// accepted before it. The caller holds the lock.
func (c *Confirmer) coveredUntil() time.Time {
	if contacted := c.allContactedAt(); contacted.After(c.confirmed) {
		return contacted
	}
	return c.confirmed
}

// allContactedAt returns the oldest of the last contacts with each known failure
// domain, or the zero time if a domain was never contacted.
func (c *Confirmer) allContactedAt() time.Time {
	snapshot := c.snapshot.Load()
	if snapshot == nil || len(snapshot.State.GetDomains()) == 0 {
		return time.Time{}
	}
	oldest := time.Now()
	domains := snapshot.State.GetDomains()
	for _, domain := range domains {
		// This node's domain is skipped, unless it is the only one: then contacts
		// come from its other nodes.
		if domain == c.domain && len(domains) > 1 {
			continue
		}
		at := c.contacts[domain]
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

func (c *Confirmer) updateFreshness() {
	covered := c.coveredUntil()
	if covered.IsZero() {
		return
	}
	next := covered.Add(c.freshnessPeriod)
	if last := c.freshUntil.Load(); last > 0 && time.Since(c.origin) >= time.Duration(last) && next.After(time.Now()) {
		for _, l := range c.restoreListeners {
			l()
		}
	}
	c.freshUntil.Store(int64(next.Sub(c.origin)))
}

// Fresh reports whether keyed requests may be served now.
func (c *Confirmer) Fresh() bool {
	return c.snapshot.Load() != nil && time.Since(c.origin) < time.Duration(c.freshUntil.Load())
}

// Age returns the time since the last moment up to which the state is known to
// include all accepted writes, and false if it was never confirmed.
func (c *Confirmer) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	covered := c.coveredUntil()
	return time.Since(covered), !covered.IsZero()
}

// Stamp returns the version, the age of the confirmation and the contacts that
// this node reports to others.
func (c *Confirmer) Stamp() *schema.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stamp := &schema.Stamp{Version: c.Version()}
	if !c.confirmed.IsZero() {
		stamp.Age = durationpb.New(now.Sub(c.confirmed))
	}
	for name, at := range c.contacts {
		if age := now.Sub(at); age < c.freshnessPeriod && name != c.domain {
			stamp.Contacts = append(stamp.Contacts, &schema.Contact{Domain: name, Age: durationpb.New(age)})
		}
	}
	return stamp
}
