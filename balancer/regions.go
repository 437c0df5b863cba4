package balancer

import (
	"slices"

	"quetzalhub/schema"
)

// members returns the nodes of a service in the regions where a call may run.
func (b *Balancer) members(service string, need Need) []*schema.Member {
	all := b.directory.View().Service(service)
	if !need.Regions.Bound() {
		return all
	}
	var allowed []*schema.Member
	for _, m := range all {
		if need.Regions.Allow(m.GetRegion()) {
			allowed = append(allowed, m)
		}
	}
	return allowed
}

// Covers reports whether any upstream of a service is in a region where a call may run.
func (b *Balancer) Covers(service string, need Need) bool {
	return slices.ContainsFunc(b.directory.View().Service(service), func(m *schema.Member) bool {
		return need.Regions.Allow(m.GetRegion())
	})
}
