// Package evacuator keeps what a node knows of evacuated failure domains: those whose
// upstreams receive no requests until an operator takes them back.
//
// The platform holds the evacuations. Some nodes watch it and pass on what they learn, so
// that a record reaches a node by several ways and in any order. Each record states
// the position in the platform's history as of which it is known, and of two records of a
// domain the later one counts. A record never gives way to an earlier one.
//
// From the time at which an evacuation became known, the share of its usual load that a
// domain still gets falls to zero, and then the nodes of the domain refuse calls. Both come
// before the bound. When a domain is taken back, its share rises again.
//
// A node that has just started does not know the evacuations. It uses its upstream once the
// platform or another node has told them, or if nobody has for some time.
//
// # Usage
//
//	e := evacuator.New("hall", 5*time.Second)
//	changes := e.Apply(position, []evacuator.Change{{Domain: "hall"}}, 0)
//	e.Weight("hall")             // falls from 1 to 0
//	e.Evacuated("hall")          // true some time later
//	beacon.Evacuations = e.Records(true)
//	changes = e.Store(beacon.GetEvacuations(), beacon.GetInformed()) // at another node
package evacuator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/schema"
)

const (
	// fallShare and bindShare are parts of the bound, from the time at which an evacuation
	// became known: callers' nodes select the domain less and less until the first, and
	// its own nodes refuse calls from the second on. The rest is left for the time until
	// an evacuation becomes known and for calls on their way.
	fallShare, bindShare = 0.4, 0.6
	// riseTime is the time in which the load of a domain that was taken back rises from
	// minWeight to its usual share.
	riseTime  = 2500 * time.Millisecond
	minWeight = 0.05
	// learnShare is the part of the bound for which a node that has just started waits
	// until somebody tells the evacuations.
	learnShare = 0.5
	// freshTime is the time for which a change is in each beacon, since one may be lost.
	freshTime = 3 * time.Second
	// maxRecords is the number of records in a beacon, and maxNameBytes the longest name
	// of a failure domain.
	maxRecords, maxNameBytes = 64, 128
)

// Position is a point in the platform's history. Revisions compare within an era only.
type Position struct {
	Era, Revision uint64
}

// Compare returns a negative number if p is before other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Change is the begin or the end of an evacuation.
type Change struct {
	Domain string
	Ended  bool
}

// record is the state of a failure domain.
type record struct {
	position Position
	ended    bool
	// changedAt is when its begin or end became known, and from the weight at that time.
	changedAt time.Time
	from      float64
}

// Evacuator knows the evacuations.
type Evacuator struct {
	domain string
	bound  time.Duration
	// started is when the node started.
	started  time.Time
	informed atomic.Bool
	// table is a copy of records for readers on the path of requests.
	table atomic.Pointer[map[string]record]

	mu      sync.Mutex
	records map[string]record
	// listed is the position of the last complete list of evacuations: domains without a
	// record were not evacuated then.
	listed Position
}

// New returns an Evacuator for a node of a failure domain. With a bound of zero, nothing is
// ever evacuated.
func New(domain string, bound time.Duration) *Evacuator {
	e := &Evacuator{domain: domain, bound: bound, started: time.Now(), records: map[string]record{}}
	e.table.Store(&map[string]record{})
	return e
}

// Enabled reports whether failure domains can be evacuated.
func (e *Evacuator) Enabled() bool { return e.bound > 0 }

// List records all evacuations as of a position, of which those that were not known began at
// most age ago. A list that is not complete ends none. List returns what has changed.
func (e *Evacuator) List(p Position, domains []string, complete bool, age time.Duration) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.publish()
	e.informed.Store(true)
	if p.Compare(e.listed) < 0 {
		return nil
	}
	var changes []Change
	if complete {
		e.listed = p
		for domain := range e.records {
			if !slices.Contains(domains, domain) {
				changes = e.update(changes, domain, record{position: p, ended: true}, 0)
			}
		}
	}
	for _, domain := range domains {
		changes = e.update(changes, domain, record{position: p}, age)
	}
	return changes
}

// Apply records changes as of a position, none of which happened more than age ago. It
// returns those that were not known.
func (e *Evacuator) Apply(p Position, changes []Change, age time.Duration) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.publish()
	var unknown []Change
	for _, c := range changes {
		unknown = e.update(unknown, c.Domain, record{position: p, ended: c.Ended}, age)
	}
	return unknown
}

// Store records what another node knows, and returns what was not known here. informed is
// true if the records are all that the other node has, and it was told all evacuations.
func (e *Evacuator) Store(records []*schema.Evacuation, informed bool) []Change {
	if !e.Enabled() || len(records) == 0 && (!informed || e.informed.Load()) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.publish()
	var changes []Change
	for _, r := range records {
		next := record{position: Position{r.GetEra(), r.GetRevision()}, ended: r.GetEnded()}
		changes = e.update(changes, r.GetDomain(), next, max(r.GetAge().AsDuration(), 0))
	}
	if informed {
		e.informed.Store(true)
	}
	return changes
}

// update replaces the record of a domain by a later one, and appends the change if there is
// one. The caller holds the lock.
func (e *Evacuator) update(changes []Change, domain string, next record, age time.Duration) []Change {
	present, known := e.records[domain]
	now := time.Now()
	switch {
	case !e.Enabled() || domain == "" || len(domain) > maxNameBytes:
		return changes
	case known && next.position.Compare(present.position) <= 0:
		return changes
	case !known && next.position.Compare(e.listed) < 0:
		return changes
	case !known:
		present = record{ended: true, from: 1, changedAt: now.Add(-age)}
	}
	if present.ended == next.ended {
		next.changedAt, next.from = present.changedAt, present.from
		e.records[domain] = next
		return changes
	}
	next.changedAt, next.from = now.Add(-age), e.weight(present, now)
	e.records[domain] = next
	return append(changes, Change{domain, next.ended})
}

// publish copies the records for readers. The caller holds the lock.
func (e *Evacuator) publish() {
	table := maps.Clone(e.records)
	e.table.Store(&table)
}

// part returns a part of the bound.
func (e *Evacuator) part(share float64) time.Duration {
	return time.Duration(share * float64(e.bound))
}

func (e *Evacuator) weight(r record, now time.Time) float64 {
	age := now.Sub(r.changedAt)
	if r.ended {
		return min(max(r.from, minWeight)+float64(age)/float64(riseTime), 1)
	}
	return r.from * max(0, 1-float64(age)/float64(e.part(fallShare)))
}

// Weight returns the share of its usual load that a failure domain gets.
func (e *Evacuator) Weight(domain string) float64 {
	r, ok := (*e.table.Load())[domain]
	if !ok {
		return 1
	}
	return e.weight(r, time.Now())
}

// Evacuated reports whether the upstreams of a failure domain receive no requests any more.
func (e *Evacuator) Evacuated(domain string) bool {
	r, ok := (*e.table.Load())[domain]
	return ok && !r.ended && time.Since(r.changedAt) >= e.part(bindShare)
}

// Informed reports whether the evacuations are known, or nobody has told them for so long
// that upstreams are used without.
func (e *Evacuator) Informed() bool {
	return !e.Enabled() || e.informed.Load() || time.Since(e.started) > e.part(learnShare)
}

// Told reports whether the platform or another node has told the evacuations.
func (e *Evacuator) Told() bool { return e.informed.Load() }

// Accepts reports whether the upstream beside this node may receive requests.
func (e *Evacuator) Accepts() bool { return e.Informed() && !e.Evacuated(e.domain) }

// Bound returns the time within which an evacuation binds.
func (e *Evacuator) Bound() time.Duration { return e.bound }

// Domain returns the failure domain of this node.
func (e *Evacuator) Domain() string { return e.domain }

// Records returns what other nodes should know: all records, or only those that have
// changed lately. The latest are first.
func (e *Evacuator) Records(all bool) []*schema.Evacuation {
	table, now := *e.table.Load(), time.Now()
	var list []*schema.Evacuation
	for domain, r := range table {
		if age := now.Sub(r.changedAt); all || age < freshTime {
			list = append(list, &schema.Evacuation{
				Domain: domain, Era: r.position.Era, Revision: r.position.Revision, Ended: r.ended, Age: durationpb.New(age),
			})
		}
	}
	slices.SortFunc(list, func(a, b *schema.Evacuation) int {
		if a.GetEnded() != b.GetEnded() {
			if a.GetEnded() {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.GetEra(), a.GetEra()), cmp.Compare(b.GetRevision(), a.GetRevision()), cmp.Compare(a.GetDomain(), b.GetDomain()))
	})
	return list[:min(len(list), maxRecords)]
}

// State is the state of a failure domain for operators.
type State struct {
	Domain    string  `json:"domain"`
	Evacuated bool    `json:"evacuated"`
	Binding   bool    `json:"binding"`
	Weight    float64 `json:"weight"`
	// Age is the time since the last change in seconds.
	Age float64 `json:"age"`
}

// States returns the states of all failure domains that are or were evacuated.
func (e *Evacuator) States() []State {
	states := []State{}
	for domain, r := range *e.table.Load() {
		states = append(states, State{domain, !r.ended, e.Evacuated(domain), e.Weight(domain), time.Since(r.changedAt).Seconds()})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Domain, b.Domain) })
	return states
}
