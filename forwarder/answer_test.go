package forwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/forwarder"
)

// TestAnswerContext guards against answers that a stopping node cuts at its own end although
// they have begun, and against requests without an answer that outlast it.
func TestAnswerContext(t *testing.T) {
	const deadline, later = time.Second, 3 * time.Second
	cases := map[string]struct {
		answerDeadline time.Duration
		// begun is the time at which the answer begins, and left that at which the caller leaves;
		// zero means that it doesn't.
		begun, left time.Duration
		ended       time.Duration
	}{
		"same deadline":                           {deadline, 0, 0, deadline},
		"same deadline, begun":                    {deadline, deadline / 2, 0, deadline},
		"later deadline, not begun":               {later, 0, 0, deadline},
		"later deadline, begun":                   {later, deadline / 2, 0, later},
		"later deadline, begun after the first":   {later, deadline * 3 / 2, 0, deadline},
		"later deadline, caller leaves":           {later, 0, deadline / 4, deadline / 4},
		"later deadline, caller leaves an answer": {later, deadline / 4, deadline / 2, deadline / 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				ctx, cancel := context.WithDeadline(ctx, began.Add(deadline))
				defer cancel()
				answer, answered, end := forwarder.AnswerContext(ctx, began.Add(deadline), began.Add(c.answerDeadline))
				defer end()
				if c.begun > 0 {
					time.AfterFunc(c.begun, answered)
				}
				if c.left > 0 {
					time.AfterFunc(c.left, leave)
				}
				<-answer.Done()
				g.Expect(time.Since(began)).To(Equal(c.ended))
			})
		})
	}
}
