package refuser_test

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/refuser"
)

// TestProblemDocument checks the document, the headers and the counter of a refusal.
func TestProblemDocument(t *testing.T) {
	g := NewWithT(t)
	counters := new(expvar.Map)
	r := refuser.New(counters)
	w := httptest.NewRecorder()
	r.Refuse(w, refuser.RateExceeded, refuser.Detail{Request: "abc", RetryAfter: 1200 * time.Millisecond})
	var p refuser.Problem
	g.Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
	g.Expect(w.Code).To(Equal(429))
	g.Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("2"))
	g.Expect(p.Code).To(Equal(refuser.RateExceeded))
	g.Expect(p.Outcome).To(Equal("not run"))
	g.Expect(p.Request).To(Equal("abc"))
	g.Expect(counters.Get("rate_exceeded").String()).To(Equal("1"))
	g.Expect(counters.Get("draining").String()).To(Equal("0"), "each code has a counter from the start")
}

// TestFindRefusals guards against losing refusals before the history is full, and
// against returning those that were overwritten.
func TestFindRefusals(t *testing.T) {
	g := NewWithT(t)
	r := refuser.New(new(expvar.Map))
	refuse := func(request string, code refuser.Code) {
		r.Refuse(httptest.NewRecorder(), code, refuser.Detail{Request: request})
	}
	refuse("old", refuser.RateExceeded)
	for i := range 2046 {
		refuse(fmt.Sprint(i), refuser.ShedAtEntry)
	}
	refuse("twice", refuser.ShedAtGuard)
	g.Expect(r.FindRefusals("old")).To(HaveLen(1))
	refuse("twice", refuser.Draining)
	g.Expect(r.FindRefusals("old")).To(BeEmpty())
	found := r.FindRefusals("twice")
	g.Expect(found).To(HaveLen(2))
	g.Expect(found[0].Code).To(Equal(refuser.ShedAtGuard))
	g.Expect(found[1].Code).To(Equal(refuser.Draining))
	g.Expect(r.FindRefusals("")).To(BeEmpty())
}
