package estimator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/schema"
)

const (
	// recordOverlap is the time after Load in which recorded profiles complete the
	// measured ones of the same route, which the nodes of other services have not
	// measured yet. Then they serve only for routes without a measurement.
	recordOverlap = 30 * time.Second
	// maxRecordedNodes, maxRecordedCalls and maxRecordedTime limit the values of a recorded
	// profile that is used.
	maxRecordedNodes = 10000
	maxRecordedCalls = 1000
	maxRecordedTime  = time.Hour
)

// Load stores the profiles that an earlier run of the fleet recorded. They are used for
// routes and services of which no node has sent a profile.
func (p *Estimator) Load(profiles []*schema.Profile) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = slices.DeleteFunc(slices.Clone(profiles), func(profile *schema.Profile) bool { return !usable(profile) })
	p.recordedAt = time.Now()
	p.recompute()
}

// usable reports whether the values of a recorded profile are in a sensible range.
func usable(profile *schema.Profile) bool {
	busy := profile.GetBusy().AsDuration()
	if profile.GetRoute() == "" || profile.GetService() == "" || profile.GetNodes() > maxRecordedNodes || busy < 0 || busy > maxRecordedTime {
		return false
	}
	return !slices.ContainsFunc(profile.GetCalls(), func(c *schema.Fanout) bool {
		count := float64(c.GetCount())
		return math.IsNaN(count) || count < 0 || count > maxRecordedCalls
	})
}

// addRecorded adds the recorded profiles for which there is no measured one; the caller
// holds the lock.
func (p *Estimator) addRecorded(all map[string]*mergedProfile) {
	overlap := time.Since(p.recordedAt) < recordOverlap
	var missing []*schema.Profile
	for _, profile := range p.recorded {
		if m := all[profile.GetRoute()]; m == nil || overlap && m.service[profile.GetService()] == 0 {
			missing = append(missing, profile)
		}
	}
	for _, profile := range missing {
		addProfile(all, profile, float64(max(profile.GetNodes(), 1)))
	}
}

// measuredKey identifies the profiles that nodes send for the same route and service.
type measuredKey struct{ route, service string }

// Measured returns the means of the profiles of all nodes, one for each route and service.
func (p *Estimator) Measured() []*schema.Profile {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := maps.Clone(p.peerProfiles)
	all[""] = p.localProfiles()
	sums := map[measuredKey]map[string]*mergedProfile{}
	for _, profiles := range all {
		for _, profile := range profiles {
			key := measuredKey{profile.GetRoute(), profile.GetService()}
			if sums[key] == nil {
				sums[key] = map[string]*mergedProfile{}
			}
			addProfile(sums[key], profile, 1)
		}
	}
	var list []*schema.Profile
	for key, sum := range sums {
		m := sum[key.route]
		profile := &schema.Profile{
			Route: key.route, Service: key.service, Nodes: uint32(m.nodes),
			Busy: durationpb.New(time.Duration(m.slotTime / m.nodes * float64(time.Second))),
		}
		for _, call := range slices.Sorted(maps.Keys(m.calls)) {
			profile.Calls = append(profile.Calls, &schema.Fanout{Route: call, Count: float32(m.calls[call] / m.nodes)})
		}
		list = append(list, profile)
	}
	slices.SortFunc(list, func(a, b *schema.Profile) int {
		return cmp.Or(cmp.Compare(a.GetRoute(), b.GetRoute()), cmp.Compare(a.GetService(), b.GetService()))
	})
	return list
}
