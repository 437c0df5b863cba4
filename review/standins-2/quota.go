package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["quota"] = lowerQuota }

// The bounds of the quota, as in the settings of the lab.
const (
	configApply  = 2 * time.Second
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// lowerQuota: the operator lowers the limit of a tenant, which sends many requests some time
// later.
func lowerQuota(l *lab, trouble bool) (bool, error) {
	const (
		host, key   = "shop.example", "key-of-house"
		rate, burst = 10, 20
	)
	rules := []map[string]any{route("r-1", "idempotent", "/catalog/", "catalog", "5s", false)}
	tenants := func(rate, burst int) []map[string]any {
		return []map[string]any{{"name": "house", "apiKeys": []string{key}, "priority": 1, "ratePerS": rate, "burst": burst}}
	}
	before := tenants(rate, burst)
	if trouble {
		before = tenants(40*rate, 40*burst)
	}
	l.store.putConfig(1, configuration(host, before, rules, "catalog"))
	endpoints, err := l.startMachines("catalog", "catalog", "catalog", "catalog")
	if err != nil {
		return false, err
	}
	a := attempt{method: http.MethodGet, host: host, target: "/catalog/w10/s200/", key: key, deadline: 4 * time.Second}
	clients := l.load(a, 32)
	time.Sleep(8 * time.Second)
	clients.stop()
	if trouble {
		l.store.putConfig(2, configuration(host, tenants(rate, burst), rules, "catalog"))
		l.log.add("the store acknowledges a limit of %d a second and a burst of %d", rate, burst)
	}
	time.Sleep(configApply + quotaWindow + 2*time.Second)
	var mu sync.Mutex
	sent := map[string]bool{}
	var group sync.WaitGroup
	for i := range 800 {
		next := a
		next.node = l.nodes[i%len(l.nodes)].outbound()
		group.Go(func() {
			r := next.send()
			l.log.add("client: request %s sent at %s, status %d", r.id, l.log.at(r.sent), r.status)
			mu.Lock()
			defer mu.Unlock()
			sent[r.id] = true
		})
		time.Sleep(4 * time.Millisecond)
	}
	group.Wait()
	var runs []time.Time
	for _, e := range endpoints {
		for _, run := range e.runs() {
			if sent[run.id] {
				l.log.add("run: request %s at %s at endpoint %s", run.id, l.log.at(run.at), run.instance)
				runs = append(runs, run.at)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	most := 0
	for i, first := range runs {
		end, _ := slices.BinarySearchFunc(runs, first.Add(quotaWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	l.log.add("%d requests ran within %v, %.0f are allowed", most, quotaWindow, allowed)
	return float64(most) > allowed, nil
}
