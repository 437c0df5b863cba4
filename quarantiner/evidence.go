package quarantiner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashWindow is the time for which a crash speaks against the host of the upstream.
	crashWindow = time.Minute
	// minUnsoundCrashes is the number of crashes within that time by which a host
	// explains one more.
	minUnsoundCrashes = 2
	// copySpan is the longest time between the crashes by copies of a request that were sent
	// before the news of the first crash.
	copySpan = 100 * time.Millisecond
	// maxHostCrashes is the number of crashes that are kept for one host.
	maxHostCrashes = 8
	// hostShift is the position of the hash of the host in that of a crash, so that nodes
	// need no other field to tell at how many hosts a request has crashed upstreams.
	hostShift = 48
)

// hostHash identifies the host of an upstream.
type hostHash uint16

func newHostHash(host string) hostHash { return hostHash(xxhash.Sum64String(host) >> hostShift) }

// newCrash returns the hash of the crash of an instance of an upstream.
func newCrash(host, id string, born int64) uint64 {
	instance := xxhash.Sum64String(id+"/"+strconv.FormatInt(born, 10)) & (1<<hostShift - 1)
	return uint64(newHostHash(host))<<hostShift | max(instance, 1)
}

func hostOf(crash uint64) hostHash { return hostHash(crash >> hostShift) }

// hostCrash is a crash of an upstream of a host.
type hostCrash struct {
	at time.Time
	// isolated is the request that ran isolated, or zero.
	isolated Fingerprint
}

// Hosts is a set of hosts.
type Hosts map[hostHash]struct{}

// Has reports whether a host is in the set.
func (h Hosts) Has(host string) bool {
	_, ok := h[newHostHash(host)]
	return ok
}

// CrashedHosts returns the hosts of the upstreams that crashed while they ran a request, and
// these along with all hosts where any upstream has crashed lately.
func (q *Quarantiner) CrashedHosts(f Fingerprint) (under, lately Hosts) {
	under, lately = Hosts{}, Hosts{}
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[f]; r != nil {
		for crash := range r.crashes {
			under[hostOf(crash)], lately[hostOf(crash)] = struct{}{}, struct{}{}
		}
	}
	now := time.Now()
	for host, crashes := range q.hosts {
		for _, c := range crashes {
			if now.Sub(c.at) <= crashWindow {
				lately[host] = struct{}{}
			}
		}
	}
	return under, lately
}

// noteCrash notes a crash of an upstream in which a request ran. The caller holds the lock.
func (q *Quarantiner) noteCrash(crash uint64, f Fingerprint, isolated bool, at time.Time) {
	host := hostOf(crash)
	crashes := q.hosts[host]
	if crashes == nil {
		if len(q.hosts) >= maxRecords {
			q.forgetHosts()
		}
		if len(q.hosts) >= maxRecords {
			return
		}
		crashes = map[uint64]hostCrash{}
		q.hosts[host] = crashes
	}
	c, known := crashes[crash]
	if !known {
		c.at = at
	}
	if isolated {
		c.isolated = f
	}
	crashes[crash] = c
	if len(crashes) > maxHostCrashes {
		oldest := crash
		for other := range crashes {
			if crashes[other].at.Before(crashes[oldest].at) {
				oldest = other
			}
		}
		delete(crashes, oldest)
	}
}

// forgetHosts removes the hosts without a crash of late. The caller holds the lock.
func (q *Quarantiner) forgetHosts() {
	now := time.Now()
	for host, crashes := range q.hosts {
		for crash, c := range crashes {
			if now.Sub(c.at) > crashWindow {
				delete(crashes, crash)
			}
		}
		if len(crashes) == 0 {
			delete(q.hosts, host)
		}
	}
}

// explains reports whether the upstream of a host crashes whatever it runs: it has crashed
// without this request, and not by one that crashes upstreams of several hosts. The caller
// holds the lock.
func (q *Quarantiner) explains(host hostHash, r *record, now time.Time) bool {
	n := 0
	for crash, c := range q.hosts[host] {
		if _, ran := r.crashes[crash]; ran || now.Sub(c.at) > crashWindow {
			continue
		}
		if other := q.records[c.isolated]; other != nil && other.spansHosts() {
			continue
		}
		n++
	}
	return n >= minUnsoundCrashes
}

// spansHosts reports whether upstreams of several hosts crashed under a request.
func (r *record) spansHosts() bool {
	hosts := Hosts{}
	for crash := range r.crashes {
		hosts[hostOf(crash)] = struct{}{}
	}
	return len(hosts) > 1
}

// evidenceUntil returns the time until which a request is held because of crashes at several
// hosts that they do not explain themselves, or the last crash. The caller holds the lock.
func (q *Quarantiner) evidenceUntil(r *record, now time.Time) time.Time {
	if r.alone() == 0 || !r.spansHosts() {
		return r.lastCrashAt
	}
	alone, hosts := 0, Hosts{}
	// first and last are the times of the first and the last crash that was not isolated.
	var first, last time.Time
	for crash, isolated := range r.crashes {
		host := hostOf(crash)
		if q.explains(host, r, now) {
			continue
		}
		hosts[host] = struct{}{}
		if isolated {
			alone++
			continue
		}
		at := q.hosts[host][crash].at
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	if alone == 0 || len(hosts) < 2 {
		return r.lastCrashAt
	}
	// A first crash in isolation, for another reason after an end, only raises suspicion.
	level := min(alone, len(r.crashes)-1, len(holds))
	until := r.lastCrashAt.Add(holds[level-1])
	// Copies that ran before the news of the first crash were not isolated. Hosts that go
	// down by themselves have mostly done so again by the end of the first hold.
	if alone == 1 && len(hosts) > 2 && last.Sub(first) <= copySpan && !now.Before(until) {
		return r.lastCrashAt.Add(holds[1])
	}
	return until
}
