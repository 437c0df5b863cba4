package evacuator

import (
	"quetzalhub/forwarder"
	"quetzalhub/refuser"
)

// Upstreams provides the local upstream unless the failure domain of the node is evacuated.
type Upstreams struct {
	forwarder.Upstreams
	Evacuator *Evacuator
}

// UpstreamFor returns the code EndpointMissing until the evacuations are known, and
// DomainEvacuated during one.
func (u *Upstreams) UpstreamFor(service string) (forwarder.Upstream, refuser.Code) {
	if code := u.Barred(); code != refuser.None {
		return forwarder.Upstream{}, code
	}
	return u.Upstreams.UpstreamFor(service)
}

// Barred returns the code because of which the upstream receives no calls, or None.
func (u *Upstreams) Barred() refuser.Code {
	switch {
	case u.Evacuator.Accepts():
		return refuser.None
	case !u.Evacuator.Informed():
		return refuser.EndpointMissing
	default:
		return refuser.DomainEvacuated
	}
}
