package rationer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalhub/gossiper"
	"quetzalhub/guard"
	"quetzalhub/schema"
)

const (
	// coldRatio is the part of what cold upstreams bear that is given out. Calls are not
	// spread evenly among them, and a call that finds no room loses the work above it.
	coldRatio = 0.9
	// defaultLatency is assumed for a warm upstream that has not reported a latency.
	defaultLatency = 100 * time.Millisecond
	// maxFill is the time for which a bucket is filled, and reserveTime the part of it that
	// must remain after requests that are not the first to be served.
	maxFill     = 300 * time.Millisecond
	reserveTime = 100 * time.Millisecond
	// evenRatio is the ratio of the requests that need no reserve whatever their priority,
	// so that none is shut out.
	evenRatio = 0.3
	// leadTime is the time for which the last request of the highest priority holds others
	// back.
	leadTime = time.Second
	// costGroupRatio is the ratio of two costs above which they are treated as different.
	costGroupRatio = 1.6
)

// supply is what the upstreams of a service bear.
type supply struct {
	cold, upstreams int
	// rate is in requests per second, and warm the part of it that warm upstreams bear.
	rate, warm float64
	// remaining is the time until the first upstream is warm.
	remaining time.Duration
}

// coldSupplies returns the supplies of the services with cold upstreams.
func coldSupplies(view *gossiper.View) map[string]supply {
	cold := map[string]supply{}
	for _, m := range view.Members {
		for _, e := range m.GetEndpoints() {
			if e.GetIntake() > 0 {
				cold[e.GetService()] = supply{}
			}
		}
	}
	for service := range cold {
		s := supply{}
		for _, m := range view.Service(service) {
			for _, e := range m.GetEndpoints() {
				if e.GetService() == service {
					s.add(e)
				}
			}
		}
		if s.cold == 0 {
			delete(cold, service)
			continue
		}
		cold[service] = s
	}
	return cold
}

// add adds an upstream.
func (s *supply) add(e *schema.Endpoint) {
	s.upstreams++
	latency := e.GetLatency().AsDuration()
	if latency <= 0 {
		latency = defaultLatency
	}
	rate := float64(e.GetLimit()) / latency.Seconds()
	if e.GetRate() > 0 {
		rate = min(rate, e.GetRate())
	}
	if e.GetIntake() > 0 {
		rate = min(rate, coldRatio*e.GetIntake())
		if remaining := e.GetCold().AsDuration(); s.cold == 0 || remaining < s.remaining {
			s.remaining = remaining
		}
		s.cold++
	} else {
		s.warm += rate
	}
	s.rate += rate
}

// budget is the token bucket of a service with cold upstreams.
type budget struct {
	service string
	supply  supply
	// rate is the part of this node in the supply, and offered what callers offer to the
	// service at this node, both in requests per second.
	rate, offered float64
	level         float64
	filledAt      time.Time
	// start is the part of its need from which the bucket starts below zero for the first
	// request. It differs among nodes, so that they don't all admit a request at once.
	start float64
	lead  lead

	admitted, refused uint64
}

// lead is the last request of the highest priority.
type lead struct {
	class  schema.Class
	count  float64
	seenAt time.Time
}

func newBudget(service string, now time.Time) *budget {
	return &budget{service: service, filledAt: now, start: rand.Float64()}
}

// fill adds the tokens since the last call.
func (b *budget) fill(now time.Time) {
	added := b.rate * now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	if b.start > 0 {
		// The need of the first request is not known.
		b.level += added
		return
	}
	b.level = min(b.level+added, max(b.level, b.size()))
}

// size returns the largest level.
func (b *budget) size() float64 { return b.rate * maxFill.Seconds() }

// observe records a request that leads the others, if it does.
func (b *budget) observe(class schema.Class, count float64, now time.Time) {
	if now.Sub(b.lead.seenAt) > leadTime || class > b.lead.class || class == b.lead.class && count <= b.lead.count {
		b.lead = lead{class, count, now}
	}
}

// allows reports whether there are tokens for a request with a number of calls.
func (b *budget) allows(class schema.Class, count float64, rank uint32) bool {
	reserve := b.rate * reserveTime.Seconds()
	first := class == b.lead.class && count <= costGroupRatio*b.lead.count
	if first || float64(rank) >= (1-evenRatio)*guard.RanksPerClass {
		reserve = 0
	}
	return b.available(count) > reserve
}

// available returns the level as it is for a request with a number of calls.
func (b *budget) available(count float64) float64 {
	if b.start > 0 {
		return min(b.level-b.start*count, b.size())
	}
	return b.level
}

// take takes the tokens of a request.
func (b *budget) take(count float64) {
	b.level, b.start = b.available(count)-count, 0
	b.admitted++
}

// refusal returns the refusal of a request for which there are not enough tokens.
func (b *budget) refusal() error {
	note := fmt.Sprintf("%d of %d upstreams of service %s are cold and bear %.1f requests/s in all; the share of this node is %.1f/s.",
		b.supply.cold, b.supply.upstreams, b.service, b.supply.rate, b.rate)
	return refusal(note, b.supply.remaining)
}
