package lender_test

import (
	"time"

	"quetzalhub/schema"
)

// injectFaults restarts and freezes hosts, loses messages and moves shards, at
// random, for a duration.
func (f *fleet) injectFaults(hosts []string, d time.Duration) {
	started := time.Now()
	incarnation := uint64(1)
	for time.Since(started) < d && f.ctx.Err() == nil {
		time.Sleep(time.Duration(2+f.randomInt(6)) * time.Second)
		name := hosts[f.randomInt(len(hosts))]
		switch f.randomInt(5) {
		case 0:
			incarnation++
			f.replaceHost(name, incarnation)
		case 1:
			f.freezeHost(name, time.Duration(1+f.randomInt(12))*time.Second)
		case 2:
			f.setLoss(0.3)
			time.Sleep(2 * time.Second)
			f.setLoss(0)
		case 3:
			f.handOverShards(name, hosts[f.randomInt(len(hosts))])
		case 4:
			f.takeOverShards(hosts[f.randomInt(len(hosts))])
		}
	}
}

func (f *fleet) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

// replaceHost kills a host, fences it and starts another one with the same name.
func (f *fleet) replaceHost(name string, incarnation uint64) {
	old := f.host(name)
	f.killHost(name)
	f.updateState(func(s *schema.State) {
		s.Fences = append(s.Fences, &schema.Fence{Name: name, Incarnation: old.currentIncarnation()})
		reassignShards(s, name, name, incarnation)
	})
	f.startHost(name, incarnation)
}

// freezeHost pauses a host, fences it after a second, gives its shards to another
// host and resumes it after d.
func (f *fleet) freezeHost(name string, d time.Duration) {
	h := f.host(name)
	h.setFrozen(true)
	time.Sleep(time.Second)
	f.updateState(func(s *schema.State) {
		s.Fences = append(s.Fences, &schema.Fence{Name: name, Incarnation: h.currentIncarnation()})
		for other, o := range f.hosts {
			if other != name && !o.isDead() {
				reassignShards(s, name, other, o.currentIncarnation())
				return
			}
		}
	})
	time.Sleep(d)
	h.setFrozen(false)
}

// takeOverShards assigns all shards to a host without their ledgers.
func (f *fleet) takeOverShards(name string) {
	h := f.host(name)
	f.updateState(func(s *schema.State) {
		for _, shard := range s.GetShards() {
			shard.Holder, shard.Incarnation, shard.Carried = name, h.currentIncarnation(), false
			shard.Term++
		}
	})
}

// handOverShards moves the shards of a host to another one with their ledgers.
func (f *fleet) handOverShards(from, to string) {
	source, target := f.host(from), f.host(to)
	if from == to {
		return
	}
	for _, index := range source.lender.HeldShards() {
		ledgers, ok := source.lender.CloseShard(index)
		if !ok {
			continue
		}
		target.lender.Adopt(ledgers)
		f.updateState(func(s *schema.State) {
			for _, shard := range s.GetShards() {
				if shard.GetIndex() == index && shard.GetTerm()+1 == ledgers.GetTerm() {
					shard.Holder, shard.Incarnation = to, target.currentIncarnation()
					shard.Term, shard.Carried = ledgers.GetTerm(), true
				}
			}
		})
	}
}

// reassignShards assigns the shards of one host to another without their ledgers.
func reassignShards(s *schema.State, from, to string, incarnation uint64) {
	for _, shard := range s.GetShards() {
		if shard.GetHolder() == from {
			shard.Holder, shard.Incarnation, shard.Carried = to, incarnation, false
			shard.Term++
		}
	}
}
