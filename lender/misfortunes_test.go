package lender_test

import (
	"time"

	"quetzalhub/schema"
)

// misfortunes makes hosts fail in various ways for a duration.
func (f *fleet) misfortunes(hosts []string, d time.Duration) {
	started := time.Now()
	incarnation := uint64(1)
	for time.Since(started) < d && f.ctx.Err() == nil {
		time.Sleep(time.Duration(2+f.draw(6)) * time.Second)
		name := hosts[f.draw(len(hosts))]
		switch f.draw(5) {
		case 0:
			incarnation++
			f.replace(name, incarnation)
		case 1:
			f.freeze(name, time.Duration(1+f.draw(12))*time.Second)
		case 2:
			f.setLoss(0.3)
			time.Sleep(2 * time.Second)
			f.setLoss(0)
		case 3:
			f.handOver(name, hosts[f.draw(len(hosts))])
		case 4:
			f.takeOver(hosts[f.draw(len(hosts))])
		}
	}
}

func (f *fleet) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

// replace kills a host, fences it, and starts another under its name.
func (f *fleet) replace(name string, incarnation uint64) {
	old := f.host(name)
	f.kill(name)
	f.write(func(s *schema.State) {
		s.Fences = append(s.Fences, &schema.Fence{Name: name, Incarnation: old.start()})
		reassign(s, name, name, incarnation)
	})
	f.start(name, incarnation)
}

// freeze stops a host past every timeout while others take its place.
func (f *fleet) freeze(name string, d time.Duration) {
	h := f.host(name)
	h.setFrozen(true)
	time.Sleep(time.Second)
	f.write(func(s *schema.State) {
		s.Fences = append(s.Fences, &schema.Fence{Name: name, Incarnation: h.start()})
		for other, o := range f.hosts {
			if other != name && !o.isDead() {
				reassign(s, name, other, o.start())
				return
			}
		}
	})
	time.Sleep(d)
	h.setFrozen(false)
}

// takeOver gives all shards to a host without the books.
func (f *fleet) takeOver(name string) {
	h := f.host(name)
	f.write(func(s *schema.State) {
		for _, shard := range s.GetShards() {
			shard.Holder, shard.Incarnation, shard.Carried = name, h.start(), false
			shard.Term++
		}
	})
}

// handOver moves the shards of a host to another one with their books.
func (f *fleet) handOver(from, to string) {
	source, target := f.host(from), f.host(to)
	if from == to {
		return
	}
	for _, index := range source.lender.HeldShards() {
		books, ok := source.lender.CloseShard(index)
		if !ok {
			continue
		}
		target.lender.Adopt(books)
		f.write(func(s *schema.State) {
			for _, shard := range s.GetShards() {
				if shard.GetIndex() == index && shard.GetTerm()+1 == books.GetTerm() {
					shard.Holder, shard.Incarnation = to, target.start()
					shard.Term, shard.Carried = books.GetTerm(), true
				}
			}
		})
	}
}

// reassign gives the shards of one host to another without the books.
func reassign(s *schema.State, from, to string, incarnation uint64) {
	for _, shard := range s.GetShards() {
		if shard.GetHolder() == from {
			shard.Holder, shard.Incarnation, shard.Carried = to, incarnation, false
			shard.Term++
		}
	}
}
