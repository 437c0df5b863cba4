package resolver

import (
	"slices"
	"strings"
)

// Regions are the regions in which a request may run: those of its route that its
// workspace allows too. An empty list allows all regions.
type Regions struct {
	Route, Workspace []string
}

// Bound reports whether any region is excluded.
func (r Regions) Bound() bool { return len(r.Route) > 0 || len(r.Workspace) > 0 }

// Allow reports whether a request may run in a region.
func (r Regions) Allow(region string) bool {
	return allow(r.Route, region) && allow(r.Workspace, region)
}

// String names the regions that each of the two allows.
func (r Regions) String() string {
	switch {
	case len(r.Workspace) == 0:
		return strings.Join(r.Route, ", ")
	case len(r.Route) == 0:
		return strings.Join(r.Workspace, ", ")
	default:
		return strings.Join(r.Route, ", ") + " (route) and " + strings.Join(r.Workspace, ", ") + " (workspace)"
	}
}

func allow(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Regions returns the regions of a route and a workspace. The workspace may be empty.
func (s *Snapshot) Regions(r *Route, workspace string) Regions {
	return Regions{r.Regions, s.regions[workspace]}
}

// WorkspaceRegions returns the regions of a workspace.
func (s *Snapshot) WorkspaceRegions(workspace string) ([]string, bool) {
	regions, ok := s.regions[workspace]
	return regions, ok
}

// HasRegions reports whether any route or workspace has regions.
func (s *Snapshot) HasRegions() bool { return s.anyRegions }
