package quarantiner

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/schema"
)

const (
	// maxSuspicions is the number of records in one beacon.
	maxSuspicions = 48
	// suspicionSendPeriod is the time after a crash for which the records of requests that
	// are not held are sent.
	suspicionSendPeriod = time.Minute
	// minEnds is the number of ended requests for which a beacon has room.
	minEnds = 16
)

// Suspicions returns the most important records in the form that is sent to other nodes, and
// the requests that have ended since they were suspected, which have no crashes.
func (q *Quarantiner) Suspicions() []*schema.Suspicion {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	ends := q.ends(now)
	suspicions := q.suspicions(now, maxSuspicions-min(len(ends), minEnds))
	return append(suspicions, ends[:min(len(ends), maxSuspicions-len(suspicions))]...)
}

// ends returns the requests that have ended since they were suspected, the latest first.
// The caller holds the lock.
func (q *Quarantiner) ends(now time.Time) []*schema.Suspicion {
	var list []Fingerprint
	for f, at := range q.endedAt {
		if now.Sub(at) <= suspicionSendPeriod {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b Fingerprint) int { return q.endedAt[b].Compare(q.endedAt[a]) })
	list = list[:min(len(list), maxSuspicions)]
	ends := make([]*schema.Suspicion, len(list))
	for i, f := range list {
		ends[i] = &schema.Suspicion{Request: uint64(f), Age: durationpb.New(now.Sub(q.endedAt[f]))}
	}
	return ends
}

// suspicions returns the most important records. The caller holds the lock.
func (q *Quarantiner) suspicions(now time.Time, limit int) []*schema.Suspicion {
	var list []Fingerprint
	for f, r := range q.records {
		if r.expired(now) {
			q.remove(f)
			continue
		}
		if r.alone() > 0 || now.Sub(r.lastCrashAt) <= suspicionSendPeriod {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		if q.records[b].lessImportant(q.records[a]) {
			return -1
		}
		return 1
	})
	list = list[:min(len(list), limit)]
	suspicions := make([]*schema.Suspicion, len(list))
	for i, f := range list {
		suspicions[i] = q.records[f].suspicion(f, now)
	}
	return suspicions
}

// HeldSuspicions returns the records of held requests, to be kept on the platform.
func (q *Quarantiner) HeldSuspicions() []*schema.Suspicion {
	return slices.DeleteFunc(q.Suspicions(), func(s *schema.Suspicion) bool { return len(s.GetAlone()) == 0 })
}

// Suspicion returns the record of a request, or nil if there is none.
func (q *Quarantiner) Suspicion(f Fingerprint) *schema.Suspicion {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[f]; r != nil {
		return r.suspicion(f, time.Now())
	}
	return nil
}

func (r *record) suspicion(f Fingerprint, now time.Time) *schema.Suspicion {
	s := &schema.Suspicion{Request: uint64(f), Caller: r.caller, Prime: r.prime, Age: durationpb.New(now.Sub(r.lastCrashAt))}
	for crash, alone := range r.crashes {
		s.Crashes = append(s.Crashes, crash)
		if alone {
			s.Alone = append(s.Alone, crash)
		}
	}
	return s
}

// Store adds the records of another node. The time of the last crash is kept, so that nodes
// do not prolong each other's records.
func (q *Quarantiner) Store(suspicions []*schema.Suspicion) { q.store(suspicions, true) }

// Load adds records that were kept on the platform.
func (q *Quarantiner) Load(suspicions []*schema.Suspicion) {
	for _, s := range suspicions {
		s.Age = durationpb.New(s.GetAge().AsDuration() + max(time.Since(time.UnixMilli(s.GetSaved())), 0))
	}
	q.store(suspicions, false)
}

func (q *Quarantiner) store(suspicions []*schema.Suspicion, notify bool) {
	if len(suspicions) == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range suspicions {
		crashes := s.GetCrashes()
		if s.GetRequest() == 0 || len(crashes) > maxCrashes {
			continue
		}
		if len(crashes) == 0 {
			q.end(Fingerprint(s.GetRequest()), now.Add(-max(s.GetAge().AsDuration(), 0)))
			continue
		}
		other := &record{caller: s.GetCaller(), crashes: map[uint64]bool{}, prime: s.GetPrime(), lastCrashAt: now.Add(-max(s.GetAge().AsDuration(), 0))}
		for _, crash := range crashes {
			other.crashes[crash] = slices.Contains(s.GetAlone(), crash)
		}
		if q.add(Fingerprint(s.GetRequest()), other) && notify {
			q.notify(Hold{Fingerprint: Fingerprint(s.GetRequest())})
		}
	}
}
