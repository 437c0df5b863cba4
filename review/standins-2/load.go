package main

import (
	"sync"
	"time"
)

// load is a number of clients that send requests evenly.
type load struct {
	quit    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// load sends requests at a rate per second, in turn at all machines.
func (l *lab) load(a attempt, perSecond int) *load {
	d := &load{quit: make(chan struct{})}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	d.group.Go(func() {
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-d.quit:
				return
			case <-ticker.C:
			}
			next := a
			next.node = l.nodes[i%len(l.nodes)].outbound()
			d.group.Go(func() {
				r := next.send()
				d.mu.Lock()
				d.results = append(d.results, r)
				d.mu.Unlock()
				if r.err != nil {
					l.log.add("client: request %s sent at %s to %s: no complete answer: %v", r.id, l.log.at(r.sent), next.node, r.err)
				} else {
					l.log.add("client: request %s sent at %s to %s: status %d, signature %q", r.id, l.log.at(r.sent), next.node, r.status, r.signature)
				}
			})
		}
	})
	return d
}

// stop ends the load once all requests have ended.
func (d *load) stop() {
	close(d.quit)
	d.group.Wait()
}
