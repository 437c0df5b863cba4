package forwarder

import (
	"net/http"

	"quetzalhub/balancer"
	"quetzalhub/refuser"
	"quetzalhub/resolver"
)

// regionBounds holds from what the regions follow in which a call may run.
type regionBounds struct {
	// host, method and path select the route.
	host, method, path string
	// workspace is empty for calls of upstreams, which have none of their own.
	workspace string
	// regions were in force when the request arrived.
	regions resolver.Regions
}

// at returns the regions by a configuration. A route or a workspace that it does not have
// keeps its earlier regions.
func (b regionBounds) at(s *resolver.Snapshot) resolver.Regions {
	if s == nil || !s.HasRegions() && !b.regions.Bound() {
		return b.regions
	}
	regions := b.regions
	if route, ok := s.Route(b.host, b.method, b.path); ok {
		regions.Route = route.Regions
	}
	if workspace, ok := s.WorkspaceRegions(b.workspace); ok {
		regions.Workspace = workspace
	}
	return regions
}

// regions returns the regions in which a call may run at present.
func (d *Dispatcher) regions(call *Call) resolver.Regions {
	if d.state == nil {
		return call.bounds.regions
	}
	return call.bounds.at(d.state.Snapshot())
}

// checkRegions returns a *refuser.Error if no upstream is in a region where the call may
// run.
func (d *Dispatcher) checkRegions(call *Call) error {
	need := balancer.Need{Regions: d.regions(call)}
	if need.Regions.Bound() && !d.picker.Covers(call.Service, need) {
		return missingError(need)
	}
	return nil
}

// missingError is the refusal of a call for which no node is left.
func missingError(need balancer.Need) error {
	if need.Regions.Bound() {
		return &refuser.Error{Code: refuser.RegionMissing, Detail: refuser.Detail{Note: "It may run in " + need.Regions.String() + "."}}
	}
	return &refuser.Error{Code: refuser.EndpointMissing}
}

// snapshot returns the configuration in force, or nil.
func (r *Relay) snapshot() *resolver.Snapshot {
	if r.options.State == nil {
		return nil
	}
	return r.options.State.Snapshot()
}

// excludes reports whether the region of this node has been excluded since the call came.
// Only a change counts: the sender may have a newer configuration than this node.
func (r *Relay) excludes(rc *relayCall, from *http.Request) bool {
	now := r.snapshot()
	if now == rc.snapshot || now == nil || rc.snapshot == nil || !now.HasRegions() {
		return false
	}
	e := rc.envelope
	bounds := regionBounds{host: e.GetHost(), method: from.Header.Get(headerMethod), path: r.options.Dialect.RoutePath(from.URL)}
	if e.GetDepth() <= 1 {
		bounds.workspace = e.GetWorkspace()
	}
	return bounds.at(rc.snapshot).Allow(r.options.Region) && !bounds.at(now).Allow(r.options.Region)
}
