package quarantiner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/quarantiner"
	"quetzalhub/schema"
)

// TestEvidence guards against crashes of one host that hold a request, and against ends that
// only the node that saw them knows.
func TestEvidence(t *testing.T) {
	r, other := request("gloves", 1), request("gloves", 2)
	f := r.Fingerprint()
	cases := map[string]struct {
		play           func(q *quarantiner.Quarantiner, crash func(host string, isolated bool, r quarantiner.Request))
		want, wantLast quarantiner.Treatment
	}{
		"restarts of one host": {func(_ *quarantiner.Quarantiner, crash func(string, bool, quarantiner.Request)) {
			for range 5 {
				crash("host-1", true, r)
			}
		}, quarantiner.Isolated, quarantiner.Held},
		"two hosts": {func(_ *quarantiner.Quarantiner, crash func(string, bool, quarantiner.Request)) {
			crash("host-1", false, r)
			crash("host-2", true, r)
		}, quarantiner.Held, quarantiner.Held},
		"two hosts, of which one goes down without it": {func(_ *quarantiner.Quarantiner, crash func(string, bool, quarantiner.Request)) {
			crash("host-1", false, r)
			crash("host-2", true, r)
			crash("host-1", false, other)
			crash("host-1", false, other)
		}, quarantiner.Isolated, quarantiner.Held},
		"it ended at another node": {func(q *quarantiner.Quarantiner, crash func(string, bool, quarantiner.Request)) {
			crash("host-1", false, r)
			elsewhere := quarantiner.New()
			elsewhere.Store(q.Suspicions())
			crash("host-2", true, r)
			time.Sleep(time.Second)
			elsewhere.RecordEnd(f)
			q.Store(elsewhere.Suspicions())
		}, quarantiner.Normal, quarantiner.Normal},
		"it ended before the crash": {func(q *quarantiner.Quarantiner, crash func(string, bool, quarantiner.Request)) {
			crash("host-1", false, r)
			crash("host-2", true, r)
			q.Store([]*schema.Suspicion{{Request: uint64(f), Age: durationpb.New(time.Second)}})
		}, quarantiner.Held, quarantiner.Held},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				q, instance := quarantiner.New(), 0
				c.play(q, func(host string, isolated bool, r quarantiner.Request) {
					instance++
					q.RecordHostCrash(host, fmt.Sprint(host, "-", instance), 1, []quarantiner.Run{{Request: r, Began: time.Now(), Isolated: isolated}})
					time.Sleep(10 * time.Millisecond)
				})
				treatment, _ := q.Treatment(f)
				g.Expect(treatment).To(Equal(c.want))
				treatment, _ = q.TreatmentAtLast(f)
				g.Expect(treatment).To(Equal(c.wantLast))
				under, lately := q.CrashedHosts(other.Fingerprint())
				g.Expect(lately.Has("host-1")).To(BeTrue())
				g.Expect(lately.Has("host-3")).To(BeFalse())
				g.Expect(under.Has("host-2")).To(BeFalse())
			})
		})
	}
}
