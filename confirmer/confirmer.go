// Package confirmer holds the state of the fleet at a node and knows how
// recently it was confirmed.
//
// A node may serve keyed requests only while its state is fresh. State is
// fresh at a moment if every write that the platform accepted earlier than the
// freshness period ago is known to be included. There are two ways to know:
//
//   - the platform confirmed the version, to this node or to one that told
//     this node (a confirmation, with its age);
//   - every failure domain was heard from and none held a newer version (the
//     platform is out of reach for all; a contact for each domain, with its age).
//
// Ages are taken from the moment a question was sent, so that delays on the
// way only make state look older than it is.
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

// Change describes the step from one state to the next.
type Change struct {
	// Old is nil for the first state.
	Old *resolver.Snapshot
	New *resolver.Snapshot
	// OldValidUntil is the time up to which rights of the old state may be used by a
	// node that has not seen the new one.
	OldValidUntil time.Time
}

// ChangeListener is told of each new state, in order.
type ChangeListener func(Change)

// RestoreListener is told when freshness returns after it had ended, before requests
// are served again.
type RestoreListener func()

// Confirmer holds the state of the fleet.
type Confirmer struct {
	domain string
	period time.Duration
	origin time.Time

	snapshot atomic.Pointer[resolver.Snapshot]
	// until is the end of freshness, counted from origin.
	until atomic.Int64

	mu        sync.Mutex
	confirmed time.Time
	contacts  map[string]time.Time
	listeners []ChangeListener
	lapsers   []RestoreListener
}

// New returns a confirmer without a state for a node of a failure domain.
func New(domain string, period time.Duration) *Confirmer {
	return &Confirmer{domain: domain, period: period, origin: time.Now(), contacts: map[string]time.Time{}}
}

// OnChange adds a listener. It must be called before the first Apply.
func (c *Confirmer) OnChange(l ChangeListener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, l)
}

// OnFreshnessRestored adds a lapser. It must be called before the first Apply.
func (c *Confirmer) OnFreshnessRestored(l RestoreListener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapsers = append(c.lapsers, l)
}

// Snapshot returns the present state, or nil.
func (c *Confirmer) Snapshot() *resolver.Snapshot { return c.snapshot.Load() }

// Version returns the version of the present state, or zero.
func (c *Confirmer) Version() uint64 {
	if s := c.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// Apply takes a state if it is newer than the present one, and tells whether
// it did. States never go back.
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
	change := Change{Old: old, New: next, OldValidUntil: c.validity().Add(c.period)}
	c.snapshot.Store(next)
	for _, l := range c.listeners {
		l(change)
	}
	c.publish()
	return true, nil
}

// Confirm records that the platform's current version was the given one at a
// time not before at.
func (c *Confirmer) Confirm(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.Version() || c.snapshot.Load() == nil {
		return
	}
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	c.publish()
}

// Observe records the stamp of a node in a domain that answered a question
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
	c.contact(domain, sent)
	for _, contact := range stamp.GetContacts() {
		c.contact(contact.GetDomain(), sent.Add(-contact.GetAge().AsDuration()))
	}
	c.publish()
}

func (c *Confirmer) advance(t *time.Time, to time.Time) {
	if to.After(*t) {
		*t = to
	}
}

func (c *Confirmer) contact(domain string, at time.Time) {
	if at.After(c.contacts[domain]) {
		c.contacts[domain] = at
	}
}

// validity returns the latest time such that all writes accepted before it are
// included in the state; the caller holds the lock.
func (c *Confirmer) validity() time.Time {
	if contacted := c.contacted(); contacted.After(c.confirmed) {
		return contacted
	}
	return c.confirmed
}

// contacted returns the time by which every known domain was heard from.
func (c *Confirmer) contacted() time.Time {
	snapshot := c.snapshot.Load()
	if snapshot == nil || len(snapshot.State.GetDomains()) == 0 {
		return time.Time{}
	}
	oldest := time.Now()
	domains := snapshot.State.GetDomains()
	for _, domain := range domains {
		// The only domain of a fleet is heard from through other nodes.
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

func (c *Confirmer) publish() {
	v := c.validity()
	if v.IsZero() {
		return
	}
	next := v.Add(c.period)
	if last := c.until.Load(); last > 0 && time.Since(c.origin) >= time.Duration(last) && next.After(time.Now()) {
		for _, l := range c.lapsers {
			l()
		}
	}
	c.until.Store(int64(next.Sub(c.origin)))
}

// Fresh tells whether keyed requests may be served now.
func (c *Confirmer) Fresh() bool {
	return c.snapshot.Load() != nil && time.Since(c.origin) < time.Duration(c.until.Load())
}

// Age returns the age of the state, and false if it was never confirmed.
func (c *Confirmer) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.validity()
	return time.Since(v), !v.IsZero()
}

// Stamp returns what this node can tell others.
func (c *Confirmer) Stamp() *schema.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stamp := &schema.Stamp{Version: c.Version()}
	if !c.confirmed.IsZero() {
		stamp.Age = durationpb.New(now.Sub(c.confirmed))
	}
	for name, at := range c.contacts {
		if age := now.Sub(at); age < c.period && name != c.domain {
			stamp.Contacts = append(stamp.Contacts, &schema.Contact{Domain: name, Age: durationpb.New(age)})
		}
	}
	return stamp
}
