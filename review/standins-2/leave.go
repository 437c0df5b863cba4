package main

import (
	"net/http"
	"time"
)

func init() { cases["leave"] = leaveAfterRestart }

// leaveAfterRestart: an endpoint starts again under its id and leaves with a DELETE while its
// first heartbeat is still on the way.
func leaveAfterRestart(l *lab, trouble bool) (bool, error) {
	const service, host = "records", "records.example"
	rules := []map[string]any{route("r-1", "non_idempotent", "/records/", service, "5000ms", false)}
	tenants := []map[string]any{{"name": "house", "apiKeys": []string{"key-of-house"}, "priority": 1, "ratePerS": 1000, "burst": 1000}}
	l.store.putConfig(1, configuration(host, tenants, rules, service))
	endpoints, err := l.startMachines(service, service, service, service)
	if err != nil {
		return false, err
	}
	clients := l.load(attempt{method: http.MethodPost, host: host, target: "/records/w400/s200/", key: "key-of-house", deadline: 5 * time.Second}, 60)
	time.Sleep(3 * time.Second)

	leaver := endpoints[0]
	if trouble {
		leaver.crash()
		time.Sleep(300 * time.Millisecond)
		leaver = leaver.next(leaver.id, service)
		// The first heartbeat is sent now and arrives late.
		if err := leaver.start(2 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	acked, err := leaver.leave()
	if err != nil {
		return false, err
	}
	l.log.add("the DELETE of %s, born %d, is acknowledged", leaver.id, leaver.born)
	time.Sleep(time.Until(acked.Add(6 * time.Second)))
	leaver.crash()
	time.Sleep(time.Second)
	clients.stop()
	late, cut := 0, 0
	for _, run := range leaver.runs() {
		after := run.at.Sub(acked)
		if after <= drain {
			continue
		}
		late++
		if !run.answered {
			cut++
		}
		l.log.add("run: request %s reaches %s %.3f s after the acknowledgement, answered: %v", run.id, run.instance, after.Seconds(), run.answered)
	}
	l.log.add("%d requests later than %v after the acknowledgement, %d of them cut by the end of the endpoint", late, drain, cut)
	return late > 0, nil
}
