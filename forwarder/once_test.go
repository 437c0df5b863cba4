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

// outcomeOf returns the outcome named in a problem document.
func outcomeOf(a answer) string {
	var problem struct {
		Outcome string `json:"outcome"`
		Code    int    `json:"code"`
	}
	if a.status == http.StatusOK {
		return "answered"
	}
	if json.Unmarshal([]byte(a.body), &problem) != nil || problem.Outcome == "" {
		return "cut"
	}
	return problem.Outcome
}

// TestAtMostOnce cuts the connection between two nodes at byte boundaries of
// the request and of the answer.
func TestAtMostOnce(t *testing.T) {
	cases := map[string]func(l *link, at int){
		"request cut": func(l *link, at int) { l.set(at, -1, false) },
		"answer cut":  func(l *link, at int) { l.set(-1, at, false) },
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			m.route("orders", false)
			runs := newLedger()
			m.add("front", echo(newLedger()))
			near := m.newLink(m.add("orders", echo(runs)))
			far := m.newLink(m.add("orders", echo(runs)))
			m.join()
			counts := map[string]int{}
			for at := 0; at < 3000; at += 37 {
				cut(near, at)
				cut(far, at)
				id := fmt.Sprintf("order-%d", at)
				a := m.request("POST", "/orders/1", id, strings.Repeat("b", 500))
				outcome := outcomeOf(a)
				counts[outcome]++
				g.Expect(runs.count(id)).To(BeNumerically("<=", 1), "%s ran twice, outcome %s", id, outcome)
				switch outcome {
				case "not run":
					g.Expect(runs.count(id)).To(BeZero(), "%s was called not run", id)
				case "answered":
					g.Expect(runs.count(id)).To(Equal(1))
					if a.whole {
						g.Expect(a.body).To(HavePrefix(id + ":" + strings.Repeat("b", 500) + ":zz"))
						g.Expect(a.body).To(HaveLen(len(id) + 2 + 2500))
					}
				}
			}
			t.Log(counts)
		})
	}
}

// TestNaiveRunsTwice shows that retrying at each hop breaks the same bound.
func TestNaiveRunsTwice(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.naive = true
	m.route("orders", false)
	runs := newLedger()
	m.add("front", echo(newLedger()))
	near := m.newLink(m.add("orders", echo(runs)))
	m.join()
	near.set(-1, 10, false)
	m.request("POST", "/orders/1", "order", "")
	g.Expect(runs.count("order")).To(BeNumerically(">", 1))
}

// TestSilentConnection lets the path to one node fall silent: the attempt is
// fenced there and runs at the other one.
func TestSilentConnection(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.route("orders", false)
	runs := newLedger()
	m.add("front", echo(newLedger()))
	silent := m.newLink(m.add("orders", echo(runs)))
	m.add("orders", echo(runs))
	m.join()
	silent.set(-1, -1, true)
	for i := range 10 {
		id := fmt.Sprintf("order-%d", i)
		a := m.request("POST", "/orders/1", id, "")
		g.Expect(outcomeOf(a)).To(Equal("answered"), a.body)
		g.Expect(runs.count(id)).To(Equal(1))
	}
	silent.set(-1, -1, false)
}

// TestSlowIsNotSilent keeps waiting for an upstream that takes far longer than
// the time after which attempts are checked.
func TestSlowIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	m.check = 20e6
	m.route("orders", false)
	runs := newLedger()
	release := make(chan struct{})
	var once sync.Once
	m.add("front", echo(newLedger()))
	m.add("orders", func(string) http.Handler {
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
	done := make(chan answer)
	go func() { done <- m.request("POST", "/orders/1", "slow", "") }()
	<-checked
	close(release)
	a := <-done
	g.Expect(outcomeOf(a)).To(Equal("answered"), a.body)
	g.Expect(runs.count("slow")).To(Equal(1))
}
