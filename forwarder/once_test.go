package forwarder_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// outcomeOf returns "answered" for a success, else the outcome in the problem
// document, or "cut" if there is none.
func outcomeOf(resp response) string {
	var problem struct {
		Outcome string `json:"outcome"`
		Code    int    `json:"code"`
	}
	if resp.status == http.StatusOK {
		return "answered"
	}
	if json.Unmarshal([]byte(resp.body), &problem) != nil || problem.Outcome == "" {
		return "cut"
	}
	return problem.Outcome
}

// TestAtMostOnce guards against running a request twice, or reporting a request
// that ran as not run, when the connection between two nodes fails. It cuts the
// connection every 37 bytes of the request and of the response.
func TestAtMostOnce(t *testing.T) {
	requestCut := func(l *link, at int) { l.set(at, -1, false) }
	responseCut := func(l *link, at int) { l.set(-1, at, false) }
	cases := map[string]struct {
		cut       func(l *link, at int)
		keptBytes int64
	}{
		"request cut":                    {requestCut, 0},
		"response cut":                   {responseCut, 0},
		"request with long body, cut":    {requestCut, 100},
		"response to a long body, cut":   {responseCut, 100},
		"request kept to its end, cut":   {requestCut, 500},
		"request kept but a byte, cut":   {requestCut, 499},
		"response, kept but a byte, cut": {responseCut, 499},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.keptBytes = c.keptBytes
			m.addRoute("orders", false)
			runs := newRunCounter()
			m.addNode("front", echo(newRunCounter()))
			first := m.newLink(m.addNode("orders", echo(runs)))
			second := m.newLink(m.addNode("orders", echo(runs)))
			m.join()
			counts := map[string]int{}
			for at := 0; at < 3000; at += 37 {
				c.cut(first, at)
				c.cut(second, at)
				id := fmt.Sprintf("order-%d", at)
				resp := m.request("POST", "/orders/1", id, strings.Repeat("b", 500))
				outcome := outcomeOf(resp)
				counts[outcome]++
				g.Expect(runs.count(id)).To(BeNumerically("<=", 1), "%s ran twice, outcome %s", id, outcome)
				switch outcome {
				case "not run":
					g.Expect(runs.count(id)).To(BeZero(), "%s was reported as not run", id)
				case "answered":
					g.Expect(runs.count(id)).To(Equal(1))
					if resp.complete {
						g.Expect(resp.body).To(HavePrefix(id + ":" + strings.Repeat("b", 500) + ":zz"))
						g.Expect(resp.body).To(HaveLen(len(id) + 2 + 2500))
					}
				}
			}
			t.Log(counts)
		})
	}
}

// TestNaiveRunsTwice shows that unconditional retries at each hop run a request
// twice when its response is cut.
func TestNaiveRunsTwice(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.naive = true
	m.addRoute("orders", false)
	runs := newRunCounter()
	m.addNode("front", echo(newRunCounter()))
	ordersLink := m.newLink(m.addNode("orders", echo(runs)))
	m.join()
	ordersLink.set(-1, 10, false)
	m.request("POST", "/orders/1", "order", "")
	g.Expect(runs.count("order")).To(BeNumerically(">", 1))
}

// TestSilentConnection guards against a request that hangs or runs twice when the
// connection to a node stops relaying data. The attempt is fenced there and the
// request runs at another node.
func TestSilentConnection(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.addRoute("orders", false)
	runs := newRunCounter()
	m.addNode("front", echo(newRunCounter()))
	silent := m.newLink(m.addNode("orders", echo(runs)))
	m.addNode("orders", echo(runs))
	m.join()
	silent.set(-1, -1, true)
	for i := range 10 {
		id := fmt.Sprintf("order-%d", i)
		resp := m.request("POST", "/orders/1", id, "")
		g.Expect(outcomeOf(resp)).To(Equal("answered"), resp.body)
		g.Expect(runs.count(id)).To(Equal(1))
	}
	silent.set(-1, -1, false)
}

// TestSlowIsNotSilent guards against giving up on a slow upstream. The response
// arrives only after several checks of the attempt.
func TestSlowIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.checkInterval = 20e6
	m.addRoute("orders", false)
	runs := newRunCounter()
	release := make(chan struct{})
	var once sync.Once
	m.addNode("front", echo(newRunCounter()))
	m.addNode("orders", func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-release
			echo(runs)("").ServeHTTP(w, r)
		})
	})
	m.join()
	checked := make(chan struct{})
	m.onCheck = func(n int) {
		if n == 5 {
			once.Do(func() { close(checked) })
		}
	}
	done := make(chan response)
	go func() { done <- m.request("POST", "/orders/1", "slow", "") }()
	<-checked
	close(release)
	resp := <-done
	g.Expect(outcomeOf(resp)).To(Equal("answered"), resp.body)
	g.Expect(runs.count("slow")).To(Equal(1))
}
