package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalhub/resolver"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	// defaultLimit is the concurrency limit assumed for an upstream without a
	// load report.
	defaultLimit = 16
	// defaultLatency is the latency assumed for such an upstream.
	defaultLatency = 100 * time.Millisecond
	// maxUtilization is the utilization at which an upstream gets only the
	// minimum weight. It is above 1 since load reports are older than the
	// selection and some calls may queue at the upstream.
	maxUtilization = 1.1
	// minSpareCapacity keeps a few calls going to full upstreams, so that
	// their spare capacity is noticed when it returns.
	minSpareCapacity = 0.02
	// spilloverStart and spilloverEnd are utilizations of the own failure
	// domain: above the first, more calls go to other domains; at the second,
	// the own domain has no preference left.
	spilloverStart, spilloverEnd = 0.65, 0.95
	// minSpillover is the weight factor of other failure domains below
	// spilloverStart.
	minSpillover = 0.03
	// coldWeight is the weight factor of an upstream that has just started and
	// runs at about half its speed.
	coldWeight = 0.4
	// avoidedWeight is the weight factor of a node that recently refused or
	// was unreachable.
	avoidedWeight = 1e-4
	// minSuccessFactor keeps a few calls going to failing upstreams, so that
	// their recovery is noticed.
	minSuccessFactor = 0.005
	// successExponent is the power of the success rate in a weight. Failing
	// upstreams get less than their success rate, since one failed call of
	// several fails the whole request.
	successExponent = 10
	// minPace is the pace below which an upstream is not preferred more.
	minPace = 0.5
	// timeSpread is the standard deviation of the logarithm of the time that a call takes.
	timeSpread = 0.5
	// minLateness is added to the chance that a call does not end in time, by which the
	// weight is divided. It bounds the preference for the fastest upstreams.
	minLateness = 0.0004
	// failureWeight is the weight of a new call in the moving average of the
	// failure rate.
	failureWeight = 0.05
	// failureHalfLife is the time after which a failure rate counts half if
	// no newer call or report updates it.
	failureHalfLife = 3 * time.Second
)

// loadReport is the load of an upstream as reported by its node.
type loadReport struct {
	endpoint   *schema.Endpoint
	receivedAt time.Time
}

// RecordLoad stores the load report that came with an answer of the node.
func (t *Target) RecordLoad(e *schema.Endpoint) {
	if e != nil {
		t.memory.RecordEndpoint(e)
		t.stats.load.Store(&loadReport{e, time.Now()})
	}
}

// RecordLoad stores a load report that a node sent on its own.
func (b *Balancer) RecordLoad(m *schema.Member, e *schema.Endpoint) {
	s := b.statsOf(m)
	b.memory.RecordEndpoint(e)
	s.load.Store(&loadReport{e, time.Now()})
	if e.GetFailing() > 0 {
		s.failureRateAt.Store(time.Now().UnixNano())
	}
}

// recordOutcome updates the failure rate with the result of a call. Results that
// say nothing about the upstream are ignored.
func (s *nodeStats) recordOutcome(failed, ignored bool) {
	if ignored {
		return
	}
	old := math.Float64frombits(s.failureRate.Load())
	next := old * (1 - failureWeight)
	if failed {
		next += failureWeight
	}
	s.failureRate.Store(math.Float64bits(next))
	s.failureRateAt.Store(time.Now().UnixNano())
}

// Need is the time in which a call must be answered, the time that it takes, and the
// regions in which it may run.
type Need struct {
	// Left is the time left for the call and those that follow it in turn.
	Left time.Duration
	// Expected is the mean time that these take at the upstreams of the service. It is
	// zero if it is not known; the time left is then ignored.
	Expected time.Duration
	// Calls is their number. The time of several varies less than that of one. Zero
	// counts as one.
	Calls int
	// Regions are those in which the call may run. The zero value allows all.
	Regions resolver.Regions
	// Skip excludes nodes by name from a pick by hash. It may be nil.
	Skip func(node string) bool
}

// lateness returns the chance that the calls do not end in time at an upstream with the
// given relative latency. Their time is taken as log-normally distributed.
func (n Need) lateness(relativeLatency float64) float64 {
	ratio := n.Left.Seconds() / (n.Expected.Seconds() * relativeLatency)
	if ratio <= 0 {
		return 1
	}
	spread := timeSpread / math.Sqrt(float64(max(n.Calls, 1)))
	return math.Erfc((math.Log(ratio)+spread*spread/2)/spread/math.Sqrt2) / 2
}

// candidate is a node that may be selected.
type candidate struct {
	target Target
	// concurrency is the number of calls that the upstream may run at a time.
	concurrency float64
	utilization float64
	// latency is the mean latency in seconds, and pace the mean ratio of the time of a
	// call to that of calls of its kind at all upstreams. They are zero if not known.
	latency, pace float64
	weight        float64
	local         bool
}

// PickInTime selects a node like Pick. If nodes are selected by spare capacity, those at
// which the call would probably not end in time are avoided.
func (b *Balancer) PickInTime(service string, need Need, tried set.Set[string]) (*Target, bool) {
	members := b.members(service, need)
	if b.domain == "" {
		return b.pickByWait(service, members, tried)
	}
	return b.pickByCapacity(service, members, need, tried)
}

// pickByCapacity selects a node at random by weight. The weight follows the calls
// per second for which the upstream has spare capacity and is reduced if the node
// is in another failure domain, if its upstream is cold or failing, or if the call would
// probably not end in time there. A random selection, unlike that of the best node, does
// not send the calls of all nodes to the same place.
func (b *Balancer) pickByCapacity(service string, members []*schema.Member, need Need, tried set.Set[string]) (*Target, bool) {
	var buffer [128]candidate
	list := buffer[:0]
	localActive, localLimit := 0.0, 0.0
	latencySum, latencyCount := 0.0, 0.0
	now := time.Now()
	for _, m := range members {
		if tried.Has(m.GetName()) || b.isClosed(service, m) {
			continue
		}
		c := b.newCandidate(m, now)
		if c.local {
			localActive += c.utilization * c.concurrency
			localLimit += c.concurrency
		}
		if c.latency > 0 {
			latencySum += c.latency
			latencyCount++
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil, false
	}
	remoteWeight := 1.0
	if localLimit > 0 {
		remoteWeight = min(max((localActive/localLimit-spilloverStart)/(spilloverEnd-spilloverStart), minSpillover), 1)
	}
	// The own failure domain loses its preference before its weight, and regains it last.
	ownWeight := b.domains.Weight(b.domain)
	remoteWeight = 1 - (1-remoteWeight)*ownWeight*ownWeight
	meanLatency := defaultLatency.Seconds()
	if latencyCount > 0 {
		meanLatency = latencySum / latencyCount
	}
	for i := range list {
		c := &list[i]
		c.weight *= c.latencyFactor(meanLatency, need) * b.domains.Weight(c.target.Member.GetDomain())
		if !c.local {
			c.weight *= remoteWeight
		}
	}
	chosen := pickWeighted(list)
	t := &Target{Member: chosen.target.Member, stats: chosen.target.stats, memory: b.memory}
	t.stats.active.Add(1)
	return t, true
}

// latencyFactor returns the factor of the weight that follows from the pace of the
// upstream, or from its latency given the mean latency of all upstreams of the service.
func (c *candidate) latencyFactor(meanLatency float64, need Need) float64 {
	pace := c.pace
	if pace == 0 && c.latency > 0 {
		pace = c.latency / meanLatency
	}
	if pace == 0 {
		pace = 1
	}
	pace = max(pace, minPace)
	// Slower upstreams get less than their proportional share, since a request with one
	// slow call among many is late as a whole.
	factor := 1 / (pace * pace * pace)
	if need.Expected > 0 {
		// Calls beyond the limit wait until others have ended.
		factor /= need.lateness(pace*max(1, c.utilization)) + minLateness
	}
	return factor
}

// pickWeighted selects a candidate with a probability proportional to its weight.
func pickWeighted(list []candidate) *candidate {
	total := 0.0
	for i := range list {
		total += list[i].weight
	}
	point := rand.Float64() * total
	for i := range list {
		if point -= list[i].weight; point < 0 {
			return &list[i]
		}
	}
	return &list[rand.IntN(len(list))]
}

// newCandidate computes the utilization of a node, and its weight without the factors for
// latency and failure domain.
func (b *Balancer) newCandidate(m *schema.Member, now time.Time) candidate {
	s := b.statsOf(m)
	c := candidate{target: Target{Member: m, stats: s}, local: m.GetDomain() == b.domain}
	limit, rate, busy, cold, failureRate := float64(defaultLimit), 0.0, 0.0, false, 0.0
	if l := s.load.Load(); l != nil {
		e := l.endpoint
		if e.GetLimit() > 0 {
			limit = float64(e.GetLimit())
		}
		busy = float64(e.GetActive() + e.GetQueued())
		c.latency, c.pace = e.GetLatency().AsDuration().Seconds(), float64(e.GetPace())
		rate = e.GetRate()
		cold = e.GetCold().AsDuration() > now.Sub(l.receivedAt)
		if intake := e.GetIntake(); cold && intake > 0 && (rate == 0 || intake < rate) {
			rate = intake
		}
		failureRate = float64(e.GetFailing())
	}
	busy = max(busy, float64(s.active.Load()))
	if rate > 0 {
		latency := c.latency
		if latency == 0 {
			latency = defaultLatency.Seconds()
		}
		// By Little's law, this many requests are active at that rate.
		limit = min(limit, rate*latency)
	}
	c.concurrency = max(limit, 1)
	c.utilization = busy / c.concurrency
	spare := max(maxUtilization-c.utilization, minSpareCapacity)
	c.weight = limit * spare * spare
	if cold {
		c.weight *= coldWeight
	}
	failureRate = max(failureRate, math.Float64frombits(s.failureRate.Load()))
	if failureRate > 0 {
		failureRate *= math.Exp2(-float64(now.UnixNano()-s.failureRateAt.Load()) / float64(failureHalfLife))
		c.weight *= max(math.Pow(1-failureRate, successExponent), minSuccessFactor)
	}
	if now.UnixNano() < s.avoidUntil.Load() {
		c.weight *= avoidedWeight
	}
	return c
}
