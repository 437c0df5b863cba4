package main

import (
	"net/http"
	"time"
)

// prefix adds a route with a longer prefix. Rule DENIED: what every configuration allows is
// not answered with a 404.
func prefix(l *lab) (*verdict, error) {
	l.store.put("config", "main", config(7, "", ""))
	short := order
	short.path = "/puka111/nuevo"
	if err := l.begin([]string{"cortes", "cortes", "medidas", "medidas"}, lookUp, order, short); err != nil {
		return nil, err
	}
	clients := l.newLoad()
	for _, m := range l.machines {
		clients.add(m, lookUp, 100*time.Millisecond, time.Time{})
		clients.add(m, order, 100*time.Millisecond, time.Time{})
		clients.add(m, short, 100*time.Millisecond, time.Time{})
	}
	time.Sleep(4 * time.Second)
	changed := time.Now()
	if l.trouble {
		l.store.put("config", "main", config(9, "", `,
{"name":"r-more","kind":"non_idempotent","targetLatency":"1500ms","priority":0,"noAuth":false,"match":{"pathPrefix":"/puka111/nuevo/"},"action":{"service":"cortes","timeout":"1200ms","maxAttempts":2}}`))
		l.note("the store acknowledged r9, which adds the route /puka111/nuevo/")
	}
	time.Sleep(10 * time.Second)
	clients.end()
	v := &verdict{}
	_, outcomes := l.results()
	denied := 0
	for _, o := range outcomes {
		if o.status != http.StatusNotFound {
			continue
		}
		if denied++; denied <= 3 {
			v.say("DENIED: %s %s %s got 404, %.1f s after the change", o.id, o.request.method, o.request.path, o.at.Sub(changed).Seconds())
		}
	}
	allowed := 5 + float64(len(outcomes))/500
	v.broken = float64(denied) > allowed
	v.say("%d requests, %d answered 404 though every configuration allows them; %.1f are allowed", len(outcomes), denied, allowed)
	return v, nil
}
