// Package witness remembers what the instances of upstreams have stated about
// themselves: that they leave, and how many requests per second they accept.
//
// The node beside an upstream learns both first, but forgets them when it restarts,
// while the upstream continues to run. The other nodes remember them: they send the
// remarks that they hold to a restarted node, and do not use an instance that has
// left, whatever the restarted node announces.
//
// An instance is identified by its identifier and its start time. The start time is
// zero while it is not known, after a health check for instance; then a departure of
// any instance with the identifier counts, until a report tells the start time.
//
// # Usage
//
//	w := witness.New()
//	w.RecordDeparture("i-7", 1700000000000)
//	w.Departed("i-7", 0)           // true
//	beacon.Remarks = w.Remarks()   // at the other node: w.Store(beacon.GetRemarks())
package witness

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
	// departureSendPeriod is the time for which a departure is sent to other nodes.
	// An upstream may continue to serve for many seconds after it has announced that
	// it leaves.
	departureSendPeriod = 2 * time.Minute
	// rateRetention is the time after which a rate limit is forgotten that its
	// upstream has not stated again.
	rateRetention = 10 * time.Second
	// maxDepartures is the number of departures that are kept, and maxRates that of
	// rate limits. The oldest ones are removed first.
	maxDepartures, maxRates = 1024, 2048
	// maxRemarks is the number of remarks in one beacon.
	maxRemarks = 32
)

// instance identifies an instance of an upstream.
type instance struct {
	id   string
	born int64
}

// statedRate is a rate limit with the time at which it was last stated.
type statedRate struct {
	perSecond float64
	at        time.Time
}

// Witness remembers departures and rate limits.
type Witness struct {
	// departures is a copy of departedAt for readers on the path of requests. It
	// also holds each departed instance with the start time zero.
	departures atomic.Pointer[map[instance]bool]

	mu         sync.Mutex
	departedAt map[instance]time.Time
	rates      map[instance]statedRate
}

// New returns a Witness without records.
func New() *Witness {
	w := &Witness{departedAt: map[instance]time.Time{}, rates: map[instance]statedRate{}}
	w.departures.Store(&map[instance]bool{})
	return w
}

// RecordDeparture records that an instance leaves.
func (w *Witness) RecordDeparture(id string, born int64) {
	w.recordDeparture(instance{id, born}, time.Now())
}

func (w *Witness) recordDeparture(i instance, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.departedAt[i]; ok || i.id == "" {
		return
	}
	w.departedAt[i] = at
	delete(w.rates, i)
	removeOldest(w.departedAt, maxDepartures, func(t time.Time) time.Time { return t })
	departures := make(map[instance]bool, 2*len(w.departedAt))
	for i := range w.departedAt {
		departures[i], departures[instance{id: i.id}] = true, true
	}
	w.departures.Store(&departures)
}

// removeOldest removes the oldest entry of a map with more than limit entries.
func removeOldest[V any](m map[instance]V, limit int, at func(V) time.Time) {
	if len(m) <= limit {
		return
	}
	keys := slices.Collect(maps.Keys(m))
	delete(m, slices.MinFunc(keys, func(a, b instance) int { return at(m[a]).Compare(at(m[b])) }))
}

// Departed reports whether an instance has announced that it leaves.
func (w *Witness) Departed(id string, born int64) bool {
	departures := *w.departures.Load()
	return len(departures) > 0 && departures[instance{id, born}]
}

// RecordRate records the requests per second that an instance accepts; zero removes
// the record.
func (w *Witness) RecordRate(id string, born int64, perSecond float64) {
	w.recordRate(instance{id, born}, statedRate{perSecond, time.Now()})
}

func (w *Witness) recordRate(i instance, r statedRate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.id == "" || r.at.Before(w.rates[i].at) {
		return
	}
	if r.perSecond <= 0 {
		delete(w.rates, i)
		return
	}
	w.rates[i] = r
	removeOldest(w.rates, maxRates, func(r statedRate) time.Time { return r.at })
}

// Rate returns the requests per second that an instance accepts, or zero if no limit
// was stated lately. If the start time is zero, the newest limit of any instance with
// the identifier counts.
func (w *Witness) Rate(id string, born int64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := w.rates[instance{id, born}]
	if born == 0 {
		for i, r := range w.rates {
			if i.id == id && r.at.After(newest.at) {
				newest = r
			}
		}
	}
	if newest.perSecond == 0 || time.Since(newest.at) > rateRetention {
		return 0
	}
	return newest.perSecond
}

// RecordEndpoint records what a node reports of the upstream beside it.
func (w *Witness) RecordEndpoint(e *schema.Endpoint) {
	i := e.GetInstance()
	if i.GetId() == "" {
		return
	}
	if e.GetPhase() == schema.Phase_PHASE_DRAINING {
		w.RecordDeparture(i.GetId(), i.GetBorn())
		return
	}
	if e.GetRate() > 0 {
		w.RecordRate(i.GetId(), i.GetBorn(), e.GetRate())
	}
}

// Remarks returns the newest records in the form that is sent to other nodes.
func (w *Witness) Remarks() []*schema.Remark {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []*schema.Remark
	add := func(i instance, left bool, rate float64, at time.Time) {
		list = append(list, &schema.Remark{
			Instance: &schema.Instance{Id: i.id, Born: i.born}, Left: left, Rate: rate, Age: durationpb.New(now.Sub(at)),
		})
	}
	for i, at := range w.departedAt {
		if now.Sub(at) <= departureSendPeriod {
			add(i, true, 0, at)
		}
	}
	for i, r := range w.rates {
		if now.Sub(r.at) > rateRetention {
			delete(w.rates, i)
			continue
		}
		add(i, false, r.perSecond, r.at)
	}
	slices.SortFunc(list, func(a, b *schema.Remark) int {
		return cmp.Compare(a.GetAge().AsDuration(), b.GetAge().AsDuration())
	})
	return list[:min(len(list), maxRemarks)]
}

// Store adds the remarks of another node. The time at which each was stated is kept, so
// that nodes do not prolong each other's records.
func (w *Witness) Store(remarks []*schema.Remark) {
	now := time.Now()
	for _, r := range remarks {
		i, at := instance{r.GetInstance().GetId(), r.GetInstance().GetBorn()}, now.Add(-r.GetAge().AsDuration())
		if r.GetLeft() {
			w.recordDeparture(i, at)
			continue
		}
		w.recordRate(i, statedRate{r.GetRate(), at})
	}
}
