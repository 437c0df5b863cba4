package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/schema"
)

const (
	// watchersPerDomain is the number of nodes of a domain that watch the platform.
	watchersPerDomain = 2
	// fanout is the number of nodes that take confirmations from one node.
	fanout = 16
)

// Instance names one start of a node.
type Instance struct {
	Name        string
	Incarnation uint64
}

// View is an immutable picture of the fleet.
type View struct {
	// Members holds all known nodes by name.
	Members map[string]*schema.Member
	// Digest is equal at nodes with the same table.
	Digest uint64
	// Replaced lists earlier starts of nodes that did not leave in order.
	Replaced []Instance
	// ranked holds the live nodes of each domain in the order of the tree
	// along which confirmations travel.
	ranked   map[string][]*schema.Member
	services map[string][]*schema.Member
}

func NewView(members map[string]*schema.Member) *View {
	v := &View{
		Members:  members,
		ranked:   map[string][]*schema.Member{},
		services: map[string][]*schema.Member{},
	}
	for _, m := range members {
		v.Digest ^= digestOf(m)
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
	for _, list := range v.ranked {
		slices.SortFunc(list, func(a, b *schema.Member) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.GetName(), b.GetName()))
		})
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *schema.Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	}
	return v
}

func rank(m *schema.Member) uint64 { return xxhash.Sum64String(m.GetName()) }

func digestOf(m *schema.Member) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.GetName())
	number := m.GetIncarnation()*31 + m.GetSequence()*7 + uint64(m.GetStatus())
	var b [8]byte
	for i := range b {
		b[i] = byte(number >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Live tells whether a member takes part in the fleet.
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

// Service returns the live nodes beside ready upstreams of a service.
func (v *View) Service(name string) []*schema.Member { return v.services[name] }

// Domains returns the names of domains with live nodes, sorted.
func (v *View) Domains() []string {
	names := make([]string, 0, len(v.ranked))
	for name := range v.ranked {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Watchers returns the nodes of a domain that watch the platform.
func (v *View) Watchers(domain string) []*schema.Member {
	list := v.ranked[domain]
	return list[:min(len(list), watchersPerDomain)]
}

// WatcherIndex tells whether a node watches the platform, and its place among the
// watchers of its domain.
func (v *View) WatcherIndex(name string) (int, bool) {
	m := v.Members[name]
	if m == nil {
		return 0, false
	}
	i := slices.IndexFunc(v.Watchers(m.GetDomain()), func(w *schema.Member) bool { return w.GetName() == name })
	return i, i >= 0
}

// Parents returns the nodes from which a node takes confirmations, best first.
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

// Children returns the nodes that take confirmations from a node.
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
