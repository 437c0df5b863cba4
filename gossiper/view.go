package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/schema"
)

const (
	// watchersPerDomain is the number of nodes per failure domain that watch the
	// platform.
	watchersPerDomain = 2
	// fanout is the number of nodes that receive confirmations from one node.
	fanout = 16
)

// Instance identifies one instance of a node, from its start to its end.
type Instance struct {
	Name        string
	Incarnation uint64
}

// View is an immutable snapshot of the membership table.
type View struct {
	// Members holds all known nodes by name.
	Members map[string]*schema.Member
	// Digest is a hash of the table; nodes with equal tables have equal digests.
	Digest uint64
	// Replaced lists earlier instances of nodes that restarted without leaving
	// first.
	Replaced []Instance
	// Known is the number of nodes that are members and have not left, or that are known
	// otherwise and have not been heard from.
	Known int
	// ranked holds the live nodes of each failure domain in the order of the
	// tree along which confirmations propagate.
	ranked   map[string][]*schema.Member
	watchers map[string][]*schema.Member
	services map[string][]*schema.Member
}

// NewView returns a View of the given members by name.
func NewView(members map[string]*schema.Member) *View {
	v := &View{
		Members:  members,
		ranked:   map[string][]*schema.Member{},
		watchers: map[string][]*schema.Member{},
		services: map[string][]*schema.Member{},
	}
	for _, m := range members {
		v.Digest ^= memberDigest(m)
		if m.GetStatus() != schema.Status_STATUS_LEFT {
			v.Known++
		}
		if !Live(m) {
			continue
		}
		v.ranked[m.GetDomain()] = append(v.ranked[m.GetDomain()], m)
		for _, e := range m.GetEndpoints() {
			if e.GetPhase() == schema.Phase_PHASE_READY && m.GetStatus() == schema.Status_STATUS_ALIVE {
				v.services[e.GetService()] = append(v.services[e.GetService()], m)
			}
		}
	}
	for domain, list := range v.ranked {
		slices.SortFunc(list, func(a, b *schema.Member) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.GetName(), b.GetName()))
		})
		v.watchers[domain] = pickWatchers(list)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *schema.Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	}
	return v
}

// pickWatchers returns the watchers among the ranked nodes of a failure domain: the first
// ones that are not blind. Their number grows with that of the blind ones, since the next in
// the order may be blind as well without knowing it yet.
func pickWatchers(list []*schema.Member) []*schema.Member {
	sighted := slices.DeleteFunc(slices.Clone(list), (*schema.Member).GetBlind)
	if len(sighted) == 0 {
		return list[:min(len(list), watchersPerDomain)]
	}
	return sighted[:min(len(sighted), max(watchersPerDomain, len(list)-len(sighted)))]
}

func rank(m *schema.Member) uint64 { return xxhash.Sum64String(m.GetName()) }

func memberDigest(m *schema.Member) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.GetName())
	combined := m.GetIncarnation()*31 + m.GetSequence()*7 + uint64(m.GetStatus())
	var b [8]byte
	for i := range b {
		b[i] = byte(combined >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Live reports whether a member is alive or suspect.
func Live(m *schema.Member) bool {
	s := m.GetStatus()
	return s == schema.Status_STATUS_ALIVE || s == schema.Status_STATUS_SUSPECT
}

// LiveCount returns the number of live members.
func (v *View) LiveCount() int {
	n := 0
	for _, list := range v.ranked {
		n += len(list)
	}
	return n
}

// Reach returns the share of the known nodes that are live. The two sides of a partition
// see shares that add up to at most 1.
func (v *View) Reach() float64 {
	if v.Known == 0 {
		return 0
	}
	return min(1, float64(v.LiveCount())/float64(v.Known))
}

// Service returns the alive nodes with a ready upstream of a service.
func (v *View) Service(name string) []*schema.Member { return v.services[name] }

// Domains returns the sorted names of the failure domains with live nodes.
func (v *View) Domains() []string {
	names := make([]string, 0, len(v.ranked))
	for name := range v.ranked {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Watchers returns the nodes of a failure domain that watch the platform.
func (v *View) Watchers(domain string) []*schema.Member { return v.watchers[domain] }

// IsPreferredWatcher reports whether a node watches the platform while no node of its
// failure domain is blind.
func (v *View) IsPreferredWatcher(name string) bool {
	list := v.ranked[v.Members[name].GetDomain()]
	return slices.ContainsFunc(list[:min(len(list), watchersPerDomain)], func(m *schema.Member) bool { return m.GetName() == name })
}

// BlindCount returns the number of live nodes of a failure domain that don't reach the
// platform.
func (v *View) BlindCount(domain string) int {
	n := 0
	for _, m := range v.ranked[domain] {
		if m.GetBlind() {
			n++
		}
	}
	return n
}

// WatcherIndex returns the position of a node among the watchers of its failure
// domain, and false if it is not a watcher.
func (v *View) WatcherIndex(name string) (int, bool) {
	m := v.Members[name]
	if m == nil {
		return 0, false
	}
	i := slices.IndexFunc(v.Watchers(m.GetDomain()), func(w *schema.Member) bool { return w.GetName() == name })
	return i, i >= 0
}

// Parents returns the nodes from which a node receives confirmations, in order
// of preference. It returns none for a watcher.
func (v *View) Parents(self *schema.Member) []*schema.Member {
	list := v.ranked[self.GetDomain()]
	i := slices.IndexFunc(list, func(m *schema.Member) bool { return m.GetName() == self.GetName() })
	if i < watchersPerDomain {
		return nil
	}
	parent := i % watchersPerDomain
	if first := watchersPerDomain * (1 + fanout); i >= first {
		parent = watchersPerDomain + (i-first)/fanout
	}
	return []*schema.Member{list[parent], list[parent%watchersPerDomain], list[(parent+1)%watchersPerDomain]}
}

// Children returns the nodes that receive confirmations from a node.
func (v *View) Children(self *schema.Member) []*schema.Member {
	var children []*schema.Member
	for _, m := range v.ranked[self.GetDomain()] {
		parents := v.Parents(m)
		if len(parents) > 0 && parents[0].GetName() == self.GetName() {
			children = append(children, m)
		}
	}
	return children
}
