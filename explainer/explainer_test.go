package explainer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/explainer"
)

// logs holds the log lines of three requests: r1 failed because a nested call was shed
// by its upstream, r2 was refused at admission, r3 was answered.
const logs = `level=info msg=started node=a at=10:00:00.000 service=orders
level=info msg=failed node=a at=10:00:01.300 request=r1 status=500 by=b path=/orders/1 parent= held=300ms
level=info msg=failed node=b at=10:00:01.250 request=c1 status=500 by=c path=/index/1 parent=r1 held=200ms
level=info msg=refused node=b at=10:00:01.260 request=c2 code=3004 reason=caller_gone note="At node c." parent=r1 held=210ms
level=info msg=not_answered node=d at=10:00:01.190 request=l1 attempt=c/1/7 code=2002 reason=shed_at_guard service=grades upstream=i-7 offered=false active=36 queued=14 limit=36
level=info msg=refused node=c at=10:00:01.200 request=l1 code=2002 reason=shed_at_guard note="At node d." parent=c1 held=150ms
"unreadable
level=info msg=refused node=a at=10:00:02.000 request=r2 code=1007 reason=shed_at_entry note="Service grades is offered 2.10 times what it can do." parent= held=1ms
level=info msg=answered node=a at=10:00:03.000 request=r3 status=200 by=b parent= held=90ms
`

// TestTrace checks which lines belong to the trace of a request, and its cause.
func TestTrace(t *testing.T) {
	cases := map[string]struct {
		request string
		lines   []string
		depths  []int
		cause   string
	}{
		"nested calls":      {"r1", []string{"l1", "l1", "c1", "c2", "r1"}, []int{2, 2, 1, 1, 0}, "shed_at_guard at d"},
		"nested call only":  {"c1", []string{"l1", "l1", "c1"}, []int{1, 1, 0}, "shed_at_guard at d"},
		"at admission":      {"r2", []string{"r2"}, []int{0}, "shed_at_entry at a"},
		"answered":          {"r3", []string{"r3"}, []int{0}, ""},
		"not in these logs": {"r4", nil, nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			log := &explainer.Log{}
			g.Expect(log.Read(strings.NewReader(logs))).To(Succeed())
			g.Expect(log.Skipped()).To(Equal(1))
			var lines []string
			var depths []int
			for _, line := range log.Trace(c.request) {
				lines = append(lines, line.Request)
				depths = append(depths, line.Depth)
			}
			g.Expect(lines).To(Equal(c.lines))
			g.Expect(depths).To(Equal(c.depths))
			cause, ok := explainer.Cause(log.Trace(c.request))
			g.Expect(ok).To(Equal(c.cause != ""))
			if ok {
				g.Expect(cause.Reason + " at " + cause.Node).To(Equal(c.cause))
			}
		})
	}
}

// TestParentCycle checks that a trace terminates if two requests name each other as
// their parent.
func TestParentCycle(t *testing.T) {
	g := NewWithT(t)
	log := &explainer.Log{}
	g.Expect(log.Read(strings.NewReader("msg=failed request=a parent=b at=1\nmsg=failed request=b parent=a at=2\n"))).To(Succeed())
	g.Expect(log.Trace("a")).To(HaveLen(2))
}
