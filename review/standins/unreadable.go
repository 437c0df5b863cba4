package main

import (
	"context"
	"fmt"
	"time"
)

// unreadable lets another writer send heartbeats whose id can't be read to two machines.
// Rule LOST: a machine in touch doesn't close kept connections without an answer to a
// request that it has passed on to a sound endpoint.
func unreadable(l *lab) (*verdict, error) {
	l.work = 200 * time.Millisecond
	l.store.put("config", "main", config(7, "", ""))
	if err := l.begin([]string{"cortes", "cortes", "cortes", "medidas", "medidas", "medidas"}, lookUp, order); err != nil {
		return nil, err
	}
	clients := l.newLoad()
	for _, m := range l.machines {
		for range 4 {
			clients.add(m, lookUp, 30*time.Millisecond, time.Time{})
			clients.add(m, order, 30*time.Millisecond, time.Time{})
		}
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		for range 3 {
			l.foreignBeat(l.machines[0])
			l.foreignBeat(l.machines[3])
			time.Sleep(4 * time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	clients.end()
	v := &verdict{}
	lost := l.countLost(v)
	for _, m := range l.machines {
		if m.ends > 0 {
			v.say("the process of %s ended by itself %d times", m.name, m.ends)
		}
	}
	_, outcomes := l.results()
	v.say("%d requests, %d kept connections closed without an answer to a request that a sound endpoint ran; three are allowed", len(outcomes), lost)
	v.broken = lost > 3
	return v, nil
}

// foreignBeat sends a heartbeat of another writer, whose id holds bytes that can't be read.
func (l *lab) foreignBeat(m *machine) {
	const id = "i-%FF%FE"
	body := fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","slots":%d},"status":{"state":"draining","sequence":1,"coldRemaining":"0ms"}}`,
		m.app, time.Now().UnixMilli(), m.service, m.zone, slots)
	status, err := l.sendBeat(context.Background(), m.control, id, body)
	l.note("heartbeat of another writer to %s: PUT /quetzalhub/instances/%s %s: %d %v", m.name, id, body, status, err)
}
