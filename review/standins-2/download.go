package main

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["download"] = downloadAtStop }

// downloadAtStop: the process that takes a client's download is stopped while the client still
// reads the answer.
func downloadAtStop(l *lab, trouble bool) (bool, error) {
	const (
		host = "library.example"
		size = 40 << 20
		// perSecond is how fast the client reads, so that it has the whole answer about 5.7 s
		// after the signal.
		perSecond = size / 61 * 10
	)
	rules := []map[string]any{route("r-1", "download", "/patterns/", "library", "10s", true)}
	l.store.putConfig(1, configuration(host, nil, rules, "library", "front"))
	endpoints, err := l.startMachines("front", "library")
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	results := make([]result, 2)
	for i := range results {
		group.Go(func() {
			results[i] = attempt{
				node: l.nodes[0].outbound(), method: http.MethodGet, host: host, target: "/patterns/w100/s" + strconv.Itoa(size) + "/", deadline: 10 * time.Second, rate: perSecond,
			}.send()
		})
	}
	time.Sleep(400 * time.Millisecond)
	signaled := time.Now()
	if trouble {
		l.nodes[0].signal(syscall.SIGTERM)
	}
	group.Wait()
	lost := 0
	for _, r := range results {
		whole := r.err == nil && r.status == http.StatusOK && bytes.Equal(r.body, answerBody(r.id, endpoints[1].id, size))
		l.log.add("client: request %s sent at %s, status %d, %d of %d bytes, whole: %v, error: %v, connection ended %.3f s after the signal",
			r.id, l.log.at(r.sent), r.status, len(r.body), size, whole, r.err, r.done.Sub(signaled).Seconds())
		for _, run := range endpoints[1].runs() {
			if run.id != r.id {
				continue
			}
			l.log.add("run: request %s at %s, whole answer written: %v, %.3f s after the signal", run.id, run.instance, run.answered, run.end.Sub(signaled).Seconds())
			// An endpoint that is at work in the last sixth of grace is an excuse.
			if !whole && run.answered && run.end.Sub(signaled) < grace*5/6 && r.done.Sub(signaled) < grace+time.Second {
				lost++
			}
		}
	}
	l.log.add("%d downloads lost", lost)
	return lost > 0, nil
}
