package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	// unknownLimit is the concurrency assumed of an upstream that has told
	// nothing yet.
	unknownLimit = 16
	// unknownLatency is the time of a call assumed of such an upstream.
	unknownLatency = 100 * time.Millisecond
	// swiftness is the power by which slower upstreams get less than their
	// speed: a request that meets one slow call of many is late as a whole.
	swiftness = 3
	// fullUse is the use at which an upstream gets next to nothing: some
	// calls may wait there, since what it told is older than the choice.
	fullUse = 1.1
	// leastRoom keeps a trickle going to full upstreams, to learn of room.
	leastRoom = 0.02
	// spillFrom and spillTo are the uses of the own failure domain from which
	// calls leave it and at which it has no advantage left.
	spillFrom, spillTo = 0.65, 0.95
	// leastSpill is the weight of other failure domains below that.
	leastSpill = 0.03
	// coldWeight is the weight of an upstream that has just started. It runs
	// at about half its speed then.
	coldWeight = 0.4
	// avoidedWeight is the weight of a node that can't be reached.
	avoidedWeight = 1e-4
	// leastSound keeps a trickle going to failing upstreams.
	leastSound = 0.005
	// soundness is the power by which failing upstreams get less than the
	// share that they serve: one failed call of several fails the request.
	soundness = 10
	// failWeight is the weight of one more call in the share that failed.
	failWeight = 0.05
	// failMemory is the time after which failures count half where few calls
	// show whether they go on.
	failMemory = 3 * time.Second
)

// load is what a node told of its upstream.
type load struct {
	endpoint *schema.Endpoint
	at       time.Time
}

// RecordLoad takes in what a node told of its upstream with an answer.
func (t *Target) RecordLoad(e *schema.Endpoint) {
	if e != nil {
		t.track.load.Store(&load{e, time.Now()})
	}
}

// RecordLoad takes in what a node told of its upstream by itself.
func (b *Balancer) RecordLoad(m *schema.Member, e *schema.Endpoint) {
	t := b.track(m)
	t.load.Store(&load{e, time.Now()})
	if e.GetFailing() > 0 {
		t.judged.Store(time.Now().UnixNano())
	}
}

// fail counts a call that the upstream failed or served; silent is true for
// one that says nothing of the upstream.
func (t *track) fail(failed, silent bool) {
	if silent {
		return
	}
	old := math.Float64frombits(t.failing.Load())
	next := old * (1 - failWeight)
	if failed {
		next += failWeight
	}
	t.failing.Store(math.Float64bits(next))
	t.judged.Store(time.Now().UnixNano())
}

// candidate is a node that may get a call.
type candidate struct {
	target Target
	use    float64
	weight float64
	near   bool
}

// pickByRoom draws a node by weights: the calls a second that its upstream
// has room for, less if it is far, cold or failing. A draw, unlike the choice
// of the best, doesn't send the calls of all nodes to the same place.
func (b *Balancer) pickByRoom(service string, members []*schema.Member, tried set.Set[string]) (*Target, bool) {
	var buffer [64]candidate
	list := buffer[:0]
	nearUse, nearLimit := 0.0, 0.0
	now := time.Now()
	for _, m := range members {
		if tried.Has(m.GetName()) {
			continue
		}
		c := b.weigh(service, m, now)
		if c.near {
			limit := float64(c.limit())
			nearUse += c.use * limit
			nearLimit += limit
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil, false
	}
	far := 1.0
	if nearLimit > 0 {
		far = min(max((nearUse/nearLimit-spillFrom)/(spillTo-spillFrom), leastSpill), 1)
	}
	chosen := draw(list, far)
	t := &Target{Member: chosen.target.Member, track: chosen.target.track}
	t.track.active.Add(1)
	return t, true
}

func draw(list []candidate, far float64) *candidate {
	total := 0.0
	for i := range list {
		if !list[i].near {
			list[i].weight *= far
		}
		total += list[i].weight
	}
	at := rand.Float64() * total
	for i := range list {
		if at -= list[i].weight; at < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}

func (c *candidate) limit() uint32 {
	if l := c.target.track.load.Load(); l != nil && l.endpoint.GetLimit() > 0 {
		return l.endpoint.GetLimit()
	}
	return unknownLimit
}

func (b *Balancer) weigh(service string, m *schema.Member, now time.Time) candidate {
	t := b.track(m)
	c := candidate{target: Target{Member: m, track: t}, near: m.GetDomain() == b.domain}
	limit, busy, latency, cold, failing := float64(c.limit()), 0.0, unknownLatency, false, 0.0
	if l := t.load.Load(); l != nil {
		e := l.endpoint
		busy = float64(e.GetActive() + e.GetQueued())
		if d := e.GetLatency().AsDuration(); d > 0 {
			latency = d
		}
		cold = e.GetCold().AsDuration() > now.Sub(l.at)
		failing = float64(e.GetFailing())
	}
	c.use = max(busy, float64(t.active.Load())) / limit
	room := max(fullUse-c.use, leastRoom)
	c.weight = limit / math.Pow(latency.Seconds(), swiftness) * room * room
	if cold {
		c.weight *= coldWeight
	}
	failing = max(failing, math.Float64frombits(t.failing.Load()))
	failing *= math.Exp2(-float64(now.UnixNano()-t.judged.Load()) / float64(failMemory))
	c.weight *= max(math.Pow(1-failing, soundness), leastSound)
	if now.UnixNano() < t.avoid.Load() {
		c.weight *= avoidedWeight
	}
	return c
}
