package main

import (
	"time"
)

const (
	// largeBytes is the size of a large order. maxBodyBytes is 64 MiB.
	largeBytes = 48 << 20
	// hotTimes is how many times its usual a tenant sends while it is hot.
	hotTimes = 5
	// hotTime is the time for which it does.
	hotTime = 9 * time.Second
)

// upload lets one tenant send five times its usual large orders at one machine. Rule LOST: a
// machine in touch doesn't close kept connections without an answer to a request that it
// has passed on to a sound endpoint.
func upload(l *lab) (*verdict, error) {
	l.enforceMemory = true
	l.work = 200 * time.Millisecond
	l.store.put("config", "main", config(7, "", ""))
	if err := l.begin([]string{"cortes", "cortes", "cortes", "medidas", "medidas", "medidas"}, lookUp, order); err != nil {
		return nil, err
	}
	clients := l.newLoad()
	for _, m := range l.machines {
		for range 4 {
			clients.add(m, lookUp, 50*time.Millisecond, time.Time{})
			clients.add(m, order, 50*time.Millisecond, time.Time{})
		}
	}
	large := order
	large.path, large.body, large.deadline = "/puka111/large", make([]byte, largeBytes), 5*time.Second
	target := l.machines[3]
	clients.add(target, large, 500*time.Millisecond, time.Time{})
	time.Sleep(6 * time.Second)
	if l.trouble {
		l.note("the tenant sends %d times its usual large orders at %s for %v", hotTimes, target.name, hotTime)
		for range hotTimes - 1 {
			clients.add(target, large, 500*time.Millisecond, time.Now().Add(hotTime))
		}
	}
	time.Sleep(hotTime + 3*time.Second)
	clients.end()
	v := &verdict{}
	_, outcomes := l.results()
	status := map[int]int{}
	for _, o := range outcomes {
		if len(o.request.body) == largeBytes {
			status[o.status]++
		}
	}
	lost := l.countLost(v)
	for _, m := range l.machines {
		v.say("%s: %d MB at most, ended %d times by the limit of %d MB", m.name, m.peakMB, m.ends, memoryMB)
	}
	v.say("large orders by status (0: connection ended without an answer, -1: no connection): %v", status)
	v.say("%d requests, %d kept connections closed without an answer to a request that a sound endpoint ran; three are allowed", len(outcomes), lost)
	v.broken = lost > 3
	return v, nil
}
