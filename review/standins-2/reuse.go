package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"
)

// reuseDelay is the time after which the address of an endpoint that has ended may be assigned
// again.
const reuseDelay = 2 * time.Second

func init() {
	cases["route"] = restartBesideReuse
	cases["caller"] = callsAfterReuse
}

// replaceEndpoint ends an endpoint for good and gives its address to one of another service. The
// settings file of the machine names that service from then on, and a SIGHUP tells the process.
func (l *lab) replaceEndpoint(n *node, ended *endpoint, service string, firstBeat time.Duration) (*endpoint, error) {
	ended.crash()
	next := ended.next("i-next", service)
	if err := next.start(firstBeat); err != nil {
		return nil, err
	}
	n.service = service
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	n.signal(syscall.SIGHUP)
	return next, nil
}

// restartBesideReuse: an endpoint falls silent for good, the process beside it is stopped and
// started again, and then the address goes to an endpoint of another service.
func restartBesideReuse(l *lab, trouble bool) (bool, error) {
	const host = "shop.example"
	rules := []map[string]any{
		route("r-1", "non_idempotent", "/orders/", "orders", "5s", true), route("r-2", "idempotent", "/catalog/", "catalog", "5s", true),
	}
	l.store.putConfig(1, configuration(host, nil, rules, "orders", "catalog"))
	endpoints, err := l.startMachines("orders", "orders", "orders", "catalog")
	if err != nil {
		return false, err
	}
	clients := l.load(attempt{method: http.MethodPost, host: host, target: "/orders/w20/s200/", deadline: 4 * time.Second}, 60)
	time.Sleep(time.Second)
	n, silent := l.nodes[0], endpoints[0]
	silent.fallSilent()
	fell := time.Now()
	if trouble {
		n.signal(syscall.SIGTERM)
		<-n.ended
		l.log.add("process of %s ended", n.name)
		time.Sleep(300 * time.Millisecond)
		if err := n.start(); err != nil {
			return false, err
		}
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(fell.Add(reuseDelay + 4*time.Second)))
	// The first heartbeat of the endpoint arrives late.
	next, err := l.replaceEndpoint(n, silent, "catalog", 3*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	clients.stop()
	foreign := 0
	for _, run := range next.runs() {
		if strings.HasPrefix(run.target, "/orders/") {
			foreign++
			l.log.add("run: request %s, %s %s, runs at %s at endpoint %s of service %s", run.id, run.method, run.target, l.log.at(run.at), run.instance, run.service)
		}
	}
	l.log.add("%d requests of a route to orders were run by catalog", foreign)
	return foreign > 0, nil
}

// callsAfterReuse: the endpoint that has taken over the address makes calls.
func callsAfterReuse(l *lab, trouble bool) (bool, error) {
	const host = "shop.example"
	rules := []map[string]any{route("r-1", "idempotent", "/stock/", "stock", "5s", true)}
	l.store.putConfig(1, configuration(host, nil, rules, "orders", "catalog", "stock"))
	endpoints, err := l.startMachines("orders", "orders", "orders", "stock")
	if err != nil {
		return false, err
	}
	present := endpoints[0]
	if trouble {
		present.crash()
		time.Sleep(reuseDelay + 500*time.Millisecond)
		if present, err = l.replaceEndpoint(l.nodes[0], present, "catalog", 0); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	wrong := 0
	for range 20 {
		r := attempt{node: l.nodes[0].outbound(), method: http.MethodGet, host: host, target: "/stock/w5/s100/", deadline: 2 * time.Second}.send()
		l.log.add("call %s of %s of service %s: status %d, %v", r.id, present.id, present.service, r.status, r.err)
		for _, run := range endpoints[3].runs() {
			if run.id == r.id {
				l.log.add("run: request %s with Caller-Service %q", run.id, run.caller)
				if run.caller != present.service {
					wrong++
				}
			}
		}
	}
	l.log.add("%d requests with another Caller-Service than the service of the machine", wrong)
	return wrong > 0, nil
}
