package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// flapPeriod is the time from one end of a flapping endpoint to the next, flapTime the
	// time for which it flaps, and flapCount the number of times that this comes, one after
	// the other.
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
	flapCount  = 2
	// items is the number of popular items that clients look up again and again.
	items = 20
)

// flap lets one endpoint of four go down and up. Rule DENIED: requests that are proper, and
// that every configuration allows, are not answered with a 4xx.
func flap(l *lab) (*verdict, error) {
	l.work = 700 * time.Millisecond
	l.store.put("config", "main", config(7, "", ""))
	if err := l.begin([]string{"medidas", "medidas", "medidas", "medidas", "cortes", "cortes"}, lookUp, order); err != nil {
		return nil, err
	}
	clients := l.newLoad()
	for i := range items {
		popular := lookUp
		popular.path = fmt.Sprintf("/leny950/item-%d", i)
		clients.add(l.machines[i%len(l.machines)], popular, 100*time.Millisecond, time.Time{})
		clients.add(l.machines[(i+2)%len(l.machines)], popular, 100*time.Millisecond, time.Time{})
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		for begin := time.Now(); time.Since(begin) < flapCount*flapTime; {
			l.endpoints[0].crash()
			time.Sleep(flapPeriod / 2)
			e, err := l.startEndpoint(l.machines[0], "medidas", fmt.Sprintf("i-medidas-0-%d", time.Now().UnixMilli()))
			if err != nil {
				return nil, err
			}
			l.endpoints[0] = e
			time.Sleep(flapPeriod / 2)
		}
	}
	calm := time.Now()
	l.note("all endpoints are up from now on")
	time.Sleep(25 * time.Second)
	clients.end()
	v := &verdict{}
	_, outcomes := l.results()
	denied, paths, statuses := 0, map[string]int{}, map[int]int{}
	for _, o := range outcomes {
		if o.at.After(calm) {
			statuses[o.status]++
		}
		switch o.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
			continue
		}
		if o.status < http.StatusMultipleChoices || o.status >= http.StatusInternalServerError {
			continue
		}
		paths[o.request.path]++
		if denied++; denied <= 3 {
			v.say("DENIED: %s %s %s got %d from %s at %.3f", o.id, o.request.method, o.request.path, o.status, o.machine, o.at.Sub(l.started).Seconds())
		}
	}
	v.say("since all endpoints are up, answers by status: %v", statuses)
	v.say("requests answered 3xx or 4xx, by path: %v", paths)
	allowed := 5 + float64(len(outcomes))/500
	v.broken = float64(denied) > allowed
	v.say("%d requests, %d answered 3xx or 4xx though every configuration allows them; %.1f are allowed", len(outcomes), denied, allowed)
	return v, nil
}
