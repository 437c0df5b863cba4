package beaconer

import (
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
)

const (
	// A usage is left out of a delta unless it differs from the last one sent by more
	// than minUsageChange requests per second and usageChangeRatio of it.
	minUsageChange   = 0.3
	usageChangeRatio = 0.2
)

// beaconOptions selects the content of a beacon.
type beaconOptions struct {
	// withRemarks adds the remarks and suspicions, which others receive with one in neighborsEvery
	// beacons. A node that has just started needs them at once.
	withRemarks bool
	// relay asks the receiver to pass on the beacon.
	relay bool
	// delta leaves out what has not changed.
	delta bool
	// base makes later deltas refer to the beacon.
	base bool
	// lean leaves out of a delta what identifies the upstream, unless it has changed lately.
	lean bool
	// direct asks the receiver to send its beacons directly.
	direct bool
}

// ownRecord returns the current record of this node.
func (b *Beaconer) ownRecord() *schema.Member {
	m := proto.CloneOf(b.self)
	m.Endpoints = b.source.Endpoints()
	if id := upstreamID(m.GetEndpoints()); id != b.upstream {
		b.upstream, b.upstreamNumber = id, b.number
	}
	m.Relaying = b.relay.serves()
	m.Blind = b.source.Blind()
	if b.leaving.Load() {
		m.Status = schema.Status_STATUS_LEFT
	}
	return m
}

// upstreamID identifies the upstreams of a node.
func upstreamID(endpoints []*schema.Endpoint) string {
	var id strings.Builder
	for _, e := range endpoints {
		fmt.Fprintf(&id, "%q %q %d;", e.GetService(), e.GetInstance().GetId(), e.GetInstance().GetBorn())
	}
	return id.String()
}

// anonymous returns copies of upstreams without what identifies them.
func anonymous(endpoints []*schema.Endpoint) []*schema.Endpoint {
	list := make([]*schema.Endpoint, len(endpoints))
	for i, e := range endpoints {
		list[i] = proto.CloneOf(e)
		list[i].Service, list[i].Instance = "", nil
	}
	return list
}

// encodeBeacon returns a beacon with the current sequence number.
func (b *Beaconer) encodeBeacon(o beaconOptions) []byte {
	beacon := &schema.Beacon{
		Member: b.ownRecord(), Version: b.source.Version(), Number: b.number, Usages: b.source.Usages(), Relay: o.relay, Delta: o.delta, Direct: o.direct,
	}
	if o.delta {
		m := beacon.Member
		m.Address, m.Admin, m.Beacon, m.Domain, m.Region = "", "", "", "", ""
		if o.lean && b.number > b.upstreamNumber+fullEvery {
			m.Endpoints = anonymous(m.GetEndpoints())
		}
		beacon.Usages = b.changedUsages(beacon.Usages)
	} else if o.base {
		b.storeSentUsages(beacon.Usages)
	}
	every := uint64(profilesEvery)
	switch {
	case b.number <= startupBeacons:
		every = startupProfilesEvery
	case o.relay:
		every = relayedProfilesEvery
	}
	if b.number%every == 0 {
		beacon.Profiles = b.source.Profiles()
	}
	if b.number%inflowsEvery == 0 {
		beacon.Inflows = b.source.Inflows()
	}
	complete := o.withRemarks || b.number%neighborsEvery == 0
	beacon.Evacuations, beacon.Informed = b.source.Evacuations(complete)
	if complete {
		beacon.Remarks, beacon.Suspicions = b.source.Remarks(), b.source.Suspicions()
	}
	if b.number%neighborsEvery == 0 {
		beacon.Neighbors = b.someNeighbors()
	}
	return b.encode(beacon)
}

// someNeighbors returns some nodes that are not silent.
func (b *Beaconer) someNeighbors() []*schema.Neighbor {
	var list []*schema.Neighbor
	for name, p := range b.peers {
		if len(list) == maxNeighbors {
			break
		}
		if !p.silent {
			list = append(list, &schema.Neighbor{Name: name, Address: p.address})
		}
	}
	return list
}

// reductions remove parts of a beacon that cannot be encoded, one after the other. Their
// content comes from other processes.
var reductions = []func(*schema.Beacon){
	func(m *schema.Beacon) {
		m.Usages, m.Profiles, m.Inflows, m.Remarks, m.Suspicions, m.Neighbors = nil, nil, nil, nil, nil, nil
		m.Evacuations, m.Informed = nil, false
	},
	func(m *schema.Beacon) {
		if m.GetMember() != nil {
			m.Member.Endpoints = nil
		}
	},
}

// encode encodes a beacon. It leaves out what cannot be encoded, since other nodes take a
// node that sends no beacon for failed. The result is empty if the rest cannot be encoded
// either.
func (b *Beaconer) encode(beacon *schema.Beacon) []byte {
	data, err := proto.Marshal(beacon)
	for i := 0; err != nil; i++ {
		for _, l := range b.listeners {
			l.BeaconReduced(err)
		}
		if i == len(reductions) {
			return nil
		}
		reductions[i](beacon)
		data, err = proto.Marshal(beacon)
	}
	return data
}

func (b *Beaconer) storeSentUsages(usages []*schema.Usage) {
	clear(b.sentUsages)
	for _, u := range usages {
		b.sentUsages[u.GetWorkspace()] = u.GetArrivals()
	}
}

// changedUsages returns the usages that differ from those last sent.
func (b *Beaconer) changedUsages(usages []*schema.Usage) []*schema.Usage {
	var changed []*schema.Usage
	for _, u := range usages {
		sent := b.sentUsages[u.GetWorkspace()]
		if math.Abs(float64(u.GetArrivals()-sent)) > max(minUsageChange, usageChangeRatio*float64(sent)) {
			b.sentUsages[u.GetWorkspace()] = u.GetArrivals()
			changed = append(changed, u)
		}
	}
	return changed
}
