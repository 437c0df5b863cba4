package main

import (
	"net/http"
	"strings"
	"time"
)

// reuse ends an endpoint of cortes for good, and then starts an endpoint of medidas at its
// address. Rule ROUTE: no request is run by a service to which no configuration allows it
// to go.
func reuse(l *lab) (*verdict, error) {
	l.store.put("config", "main", config(7, "", ""))
	if err := l.begin([]string{"cortes", "cortes", "cortes", "medidas", "medidas", "medidas"}, lookUp, order); err != nil {
		return nil, err
	}
	clients := l.newLoad()
	for _, m := range l.machines {
		clients.add(m, lookUp, 100*time.Millisecond, time.Time{})
		clients.add(m, order, 100*time.Millisecond, time.Time{})
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		m := l.machines[0]
		l.endpoints[0].crash()
		// The address goes to another service no sooner than reuseDelay (2 s) later. The
		// settings of the machine say so from then on.
		time.Sleep(2500 * time.Millisecond)
		m.service = "medidas"
		if err := m.writeSettings(); err != nil {
			return nil, err
		}
		e, err := l.startEndpoint(m, "medidas", "i-medidas-new")
		if err != nil {
			return nil, err
		}
		l.endpoints[0] = e
	}
	time.Sleep(15 * time.Second)
	clients.end()
	return checkRoutes(l), nil
}

func checkRoutes(l *lab) *verdict {
	v := &verdict{}
	runs, outcomes := l.results()
	got := map[string]outcome{}
	for _, o := range outcomes {
		got[o.id] = o
	}
	foreign, succeeded := 0, 0
	for _, r := range runs {
		allowed := "medidas"
		if strings.HasPrefix(r.path, "/puka111/") {
			allowed = "cortes"
		}
		if r.service == allowed {
			continue
		}
		if got[r.id].status == http.StatusOK {
			succeeded++
		}
		if foreign++; foreign <= 3 {
			v.say("ROUTE: %s %s %s was run by %s of service %s, and the client got %d; every configuration sends it to %s only",
				r.id, r.method, r.path, r.instance, r.service, got[r.id].status, allowed)
		}
	}
	v.broken = foreign > 0
	v.say("%d requests, %d runs, %d by a service to which no configuration allows them to go, of which %d were answered 200", len(outcomes), len(runs), foreign, succeeded)
	return v
}
