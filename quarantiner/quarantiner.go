// Package quarantiner finds requests that crash the upstreams that run them, also known as
// poison requests or queries of death, and keeps them from crashing more.
//
// When an upstream crashes, every request that ran there is suspected. Most of them have
// not caused the crash, so a suspected request is not refused but isolated: identical
// requests go to the same upstream, one that has not crashed under them, which runs one
// suspected request at a time. If that upstream crashes too, the request that it ran is
// held: it is refused, for longer after each further crash. If the request ends anywhere,
// the suspicion is dropped, and all nodes are told. A request that crashes every upstream
// is thus held after two crashes and tried once more after the first hold; all others
// remain in use.
//
// Crashes of one host say little about a request, since its upstream may go down whatever
// it runs. A request is held only for crashes at two hosts, not counting those where
// upstreams crashed without it. Only if no other upstream is left do crashes of one host
// suffice.
//
// Identical requests have the same fingerprint, that of caller, method, host, path, query and
// body. Crashes have many causes, so only a crash during an isolated run is attributed to
// one request.
//
// Nodes exchange their records. A crash is identified by the instance of the upstream, so
// that no crash counts twice. Held requests are also kept on the platform, for a start of
// all nodes. The number of records is limited, in total and for each caller.
//
// # Usage
//
//	q := quarantiner.New()
//	treatment, left := q.Treatment(request.Fingerprint())
//	under, lately := q.CrashedHosts(request.Fingerprint())  // if it is isolated
//	q.RecordHostCrash("host-7", "i-7", 1700000000000, runs)  // beside the upstream
//	q.RecordEnd(fingerprint)                   // an isolated request has ended
//	beacon.Suspicions = q.Suspicions()         // at other nodes: q.Store(beacon.GetSuspicions())
package quarantiner

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPrimeSuspects is the number of requests, those begun last, that are isolated after
	// one crash. An upstream that crashes on a request mostly does so at its begin. The
	// others are isolated after a second crash.
	maxPrimeSuspects = 16
	// suspicionRetention is the time after a crash for which requests are isolated unless
	// one of them ends. Alike requests may be rare.
	suspicionRetention = time.Hour
	// heldRetention is the time after the end of its hold for which a record is kept, so
	// that one more crash renews the hold.
	heldRetention = 24 * time.Hour
	// maxRecords is the number of records that are kept, and maxCallerRecords that of one
	// caller.
	maxRecords, maxCallerRecords = 1024, 64
	// maxCrashes is the number of crashes that a record lists.
	maxCrashes = 8
	// maxHolds is the number of holds that wait for their receiver.
	maxHolds = 64
)

// holds are the times for which a request is held after its first, second, third and each
// further crash in isolation. The first is about as long as an upstream takes to start again.
var holds = []time.Duration{5 * time.Second, 10 * time.Minute, time.Hour, 24 * time.Hour}

// Fingerprint identifies identical requests. Zero stands for none.
type Fingerprint uint64

// Request holds the properties that make up a fingerprint.
type Request struct {
	// Caller is the workspace, or the calling service for a nested call.
	Caller string
	Method string
	Host   string
	// Target is the path and the query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint {
	h := xxhash.New()
	for _, text := range []string{r.Caller, r.Method, r.Host, r.Target} {
		// Lengths keep apart requests that agree only when joined.
		_, _ = h.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(max(h.Sum64(), 1))
}

// Treatment is how a request is run.
type Treatment int

const (
	// Normal means that nothing is known against the request.
	Normal Treatment = iota
	// Isolated means that an upstream runs the request beside no other isolated one.
	Isolated
	// Held means that the request is refused.
	Held
)

// Run is a request that ran in an upstream when it crashed.
type Run struct {
	Request  Request
	Began    time.Time
	Isolated bool
}

// record is what is known of a request and of all identical ones.
type record struct {
	caller uint32
	// crashes holds the crashes in which they ran, and for each whether it was in
	// isolation.
	crashes map[uint64]bool
	// prime is true if they were among the prime suspects of a crash.
	prime       bool
	lastCrashAt time.Time
}

// Quarantiner keeps the records.
type Quarantiner struct {
	// empty is true while there are no records, so that no fingerprint is needed.
	empty atomic.Bool
	// holds receives each new hold.
	holds chan Hold

	mu      sync.Mutex
	records map[Fingerprint]*record
	// endedAt holds the time at which a suspected request has ended: records of earlier
	// crashes, which other nodes may still send, no longer count.
	endedAt map[Fingerprint]time.Time
	// hosts holds the latest crashes of the upstreams of each host.
	hosts map[hostHash]map[uint64]hostCrash
}

// New returns a Quarantiner without records.
func New() *Quarantiner {
	q := &Quarantiner{
		records: map[Fingerprint]*record{}, endedAt: map[Fingerprint]time.Time{}, hosts: map[hostHash]map[uint64]hostCrash{},
		holds: make(chan Hold, maxHolds),
	}
	q.empty.Store(true)
	return q
}

// Empty reports whether nothing is known against any request.
func (q *Quarantiner) Empty() bool { return q.empty.Load() }

// Treatment returns how to run a request, and for how long it is still held because
// upstreams of several hosts crashed under it.
func (q *Quarantiner) Treatment(f Fingerprint) (Treatment, time.Duration) {
	return q.treatment(f, q.evidenceUntil)
}

// TreatmentAtLast returns the same for a request for which no upstream is left but those
// that crashed under it. One that has no other host is then held because of the crashes of
// a single one.
func (q *Quarantiner) TreatmentAtLast(f Fingerprint) (Treatment, time.Duration) {
	return q.treatment(f, func(r *record, _ time.Time) time.Time { return r.heldUntil() })
}

func (q *Quarantiner) treatment(f Fingerprint, until func(r *record, now time.Time) time.Time) (Treatment, time.Duration) {
	if q.Empty() {
		return Normal, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[f]
	if r == nil {
		return Normal, 0
	}
	now := time.Now()
	if r.expired(now) {
		q.remove(f)
		return Normal, 0
	}
	if left := until(r, now).Sub(now); left > 0 {
		return Held, left
	}
	if r.isIsolated() {
		return Isolated, 0
	}
	return Normal, 0
}

func (r *record) isIsolated() bool { return r.prime || len(r.crashes) > 1 }

// Crashes returns the number of crashes in which a request ran.
func (q *Quarantiner) Crashes(f Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[f]; r != nil {
		return len(r.crashes)
	}
	return 0
}

// RecordCrash records the crash of an instance of an upstream that has a host of its own.
func (q *Quarantiner) RecordCrash(id string, born int64, runs []Run) {
	q.RecordHostCrash(id, id, born, runs)
}

// RecordHostCrash records the crash of an instance of the upstream of a host with the
// requests that ran there. If one of them was isolated, the crash is attributed to it.
func (q *Quarantiner) RecordHostCrash(host, id string, born int64, runs []Run) {
	crash := newCrash(host, id, born)
	now := time.Now()
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b Run) int { return b.Began.Compare(a.Began) })
	isolated := slices.ContainsFunc(runs, func(r Run) bool { return r.Isolated })
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, run := range runs {
		f := run.Request.Fingerprint()
		// The one begun last may have caused the crash beside an isolated one.
		prime := run.Isolated || i == 0 || !isolated && i < maxPrimeSuspects
		held := q.add(f, &record{
			caller: callerHash(run.Request.Caller), crashes: map[uint64]bool{crash: run.Isolated}, prime: prime, lastCrashAt: now,
		})
		if held {
			q.notify(Hold{f, true})
		}
	}
}

func callerHash(caller string) uint32 { return uint32(xxhash.Sum64String(caller)) }

// RecordEnd records that an upstream has run a request to its end.
func (q *Quarantiner) RecordEnd(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.records[f] != nil {
		q.end(f, time.Now())
	}
}

// end drops what earlier crashes say of a request that has ended. The caller holds the lock.
func (q *Quarantiner) end(f Fingerprint, at time.Time) {
	if !at.After(q.endedAt[f]) {
		return
	}
	if r := q.records[f]; r != nil && !r.lastCrashAt.After(at) {
		q.remove(f)
	}
	q.endedAt[f] = at
	removeOldest(q.endedAt, maxRecords, func(t time.Time) time.Time { return t })
}

// Hold says that a request was newly held.
type Hold struct {
	Fingerprint Fingerprint
	// Local is true if the upstream beside this node has crashed.
	Local bool
}

// Holds receives each new hold. Holds are left out while nobody receives them.
func (q *Quarantiner) Holds() <-chan Hold { return q.holds }

// add adds what another record says of a request and reports whether it is held
// because of it. The caller holds the lock.
func (q *Quarantiner) add(f Fingerprint, other *record) bool {
	if at, ok := q.endedAt[f]; ok && !other.lastCrashAt.After(at) || other.expired(time.Now()) {
		return false
	}
	r := q.records[f]
	if r == nil {
		r = &record{caller: other.caller, crashes: map[uint64]bool{}}
		q.records[f] = r
		q.empty.Store(false)
	}
	before := r.alone()
	for crash, alone := range other.crashes {
		if _, known := r.crashes[crash]; known || len(r.crashes) < maxCrashes {
			if !known || alone {
				q.noteCrash(crash, f, alone, other.lastCrashAt)
			}
			r.crashes[crash] = r.crashes[crash] || alone
		}
	}
	r.prime = r.prime || other.prime
	if other.lastCrashAt.After(r.lastCrashAt) {
		r.lastCrashAt = other.lastCrashAt
	}
	q.limit(r.caller)
	return r.alone() > before
}

// notify passes on a new hold. The caller holds the lock.
func (q *Quarantiner) notify(h Hold) {
	select {
	case q.holds <- h:
	default:
	}
}

// alone returns the number of crashes in isolation.
func (r *record) alone() int {
	n := 0
	for _, alone := range r.crashes {
		if alone {
			n++
		}
	}
	return n
}

// heldUntil returns the time until which the request is held if crashes of one host
// suffice, or the last crash if it is not held.
func (r *record) heldUntil() time.Time {
	alone := r.alone()
	if alone == 0 || len(r.crashes) < 2 {
		return r.lastCrashAt
	}
	return r.lastCrashAt.Add(holds[min(alone, len(holds))-1])
}

func (r *record) expired(now time.Time) bool {
	retention := suspicionRetention
	if r.alone() > 0 {
		retention = heldRetention
	}
	return now.Sub(r.heldUntil()) > retention
}

// remove removes a record. The caller holds the lock.
func (q *Quarantiner) remove(f Fingerprint) {
	delete(q.records, f)
	q.empty.Store(len(q.records) == 0)
}

// limit removes expired records and then the least important ones of a caller, or of all,
// while there are too many. The caller holds the lock.
func (q *Quarantiner) limit(caller uint32) {
	count := 0
	for _, r := range q.records {
		if r.caller == caller {
			count++
		}
	}
	if count <= maxCallerRecords && len(q.records) <= maxRecords {
		return
	}
	ofCaller := count > maxCallerRecords
	var least Fingerprint
	now := time.Now()
	for f, r := range q.records {
		if ofCaller && r.caller != caller {
			continue
		}
		if r.expired(now) {
			q.remove(f)
			return
		}
		if least == 0 || r.lessImportant(q.records[least]) {
			least = f
		}
	}
	q.remove(least)
}

// lessImportant reports whether to forget a record before another one: the one that is held
// for a shorter time, then the one that is not isolated, then that of the earlier crash.
func (r *record) lessImportant(other *record) bool {
	if a, b := r.alone(), other.alone(); a != b {
		return a < b
	}
	if a, b := r.isIsolated(), other.isIsolated(); a != b {
		return b
	}
	return r.lastCrashAt.Before(other.lastCrashAt)
}

// removeOldest removes the oldest entry of a map with more than limit entries.
func removeOldest[V any](m map[Fingerprint]V, limit int, at func(V) time.Time) {
	if len(m) <= limit {
		return
	}
	var oldest Fingerprint
	for f, v := range m {
		if oldest == 0 || at(v).Before(at(m[oldest])) {
			oldest = f
		}
	}
	delete(m, oldest)
}
