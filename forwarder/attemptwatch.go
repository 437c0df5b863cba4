package forwarder

import (
	"context"
	"time"

	"quetzalhub/balancer"
	"quetzalhub/fencer"
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

const (
	// checkTimeout bounds one question about an attempt.
	checkTimeout = 500 * time.Millisecond
	// silentChecks is the number of checks without an answer after which an
	// attempt that may run twice is given up.
	maxUnansweredChecks = 3
	// verdictLimit is the largest age of an attempt at which an answer about
	// it counts; receivers remember longer.
	maxCheckAge = fencer.Retention - 10*time.Second
)

// attemptWatch checks an attempt while its answer is awaited.
type attemptWatch struct {
	dispatcher    *Dispatcher
	cancel        context.CancelFunc
	attempt       *attempt
	timer         *time.Timer
	ctx           context.Context
	finalProgress chan schema.Progress
	unanswered    int
	doneReports   int
	ticks         int
}

// watch starts to check an attempt once the patience has passed.
func (d *Dispatcher) startWatch(ctx context.Context, cancel context.CancelFunc, a *attempt) *attemptWatch {
	w := &attemptWatch{dispatcher: d, cancel: cancel, attempt: a, ctx: ctx, finalProgress: make(chan schema.Progress, 1)}
	w.timer = time.AfterFunc(d.checkInterval, w.run)
	return w
}

// run checks once, and again later while the attempt is under way.
func (w *attemptWatch) run() {
	if w.skipCheck() {
		w.timer.Reset(w.dispatcher.checkInterval)
		return
	}
	progress := w.dispatcher.checkAttempt(w.ctx, w.attempt)
	if w.ctx.Err() != nil {
		return
	}
	if w.keepWaiting(progress) {
		w.timer.Reset(w.dispatcher.checkInterval)
		return
	}
	select {
	case w.finalProgress <- progress:
	default:
	}
	w.cancel()
}

// quietLooks is the number of looks for which it is enough that the receiver
// is heard from. After that it is asked, since a connection may have fallen
// silent while others work.
const forcedCheckTicks = 4

// aliveAndEarly tells whether an answer can still be on its way, by what is
// heard from the receiver anyway.
func (w *attemptWatch) skipCheck() bool {
	l, ok := w.dispatcher.checker.(LivenessChecker)
	if !ok {
		return false
	}
	w.ticks++
	return w.ticks%forcedCheckTicks != 0 && l.Alive(w.attempt.target.Member.GetName())
}

// goesOn tells whether to wait on after a check.
func (w *attemptWatch) keepWaiting(progress schema.Progress) bool {
	switch progress {
	case schema.Progress_PROGRESS_RUNNING:
		w.unanswered = 0
		return true
	case schema.Progress_PROGRESS_DONE:
		// The answer is on its way, or lost if it is still so next time.
		w.doneReports++
		return w.doneReports < 2
	case schema.Progress_PROGRESS_FENCED:
		return false
	default:
		// A call that may not run twice gains nothing by being given up early:
		// a receiver that comes back can still answer, or be told not to run it.
		w.unanswered++
		return w.unanswered < maxUnansweredChecks || !w.attempt.call.Route.Idempotent
	}
}

// stop ends the watch and returns its verdict, if it came to one.
func (w *attemptWatch) stop() schema.Progress {
	w.timer.Stop()
	select {
	case p := <-w.finalProgress:
		return p
	default:
		return schema.Progress_PROGRESS_UNSPECIFIED
	}
}

// lateCheckTimeout bounds the question about an attempt whose deadline has
// passed: its caller is owed an answer now.
const lateCheckTimeout = 30 * time.Millisecond

// ask checks an attempt after its connection gave no answer.
func (d *Dispatcher) checkAfterFailure(ctx context.Context, a *attempt, late bool) schema.Progress {
	if late {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lateCheckTimeout)
		defer cancel()
	}
	return d.checkAttempt(ctx, a)
}

// check asks the receiver of an attempt about it.
func (d *Dispatcher) checkAttempt(ctx context.Context, a *attempt) schema.Progress {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req := &schema.CheckRequest{Attempt: a.id, Incarnation: a.target.Member.GetIncarnation()}
	progress, err := d.checker.Check(ctx, a.target.Member.GetAddress(), req)
	if err != nil || time.Since(a.sent) > maxCheckAge {
		return schema.Progress_PROGRESS_UNKNOWN
	}
	return progress
}

// failed returns the refusal for an attempt whose connection gave no answer;
// sent is false if nothing of it left.
func (d *Dispatcher) attemptError(ctx context.Context, a *attempt, progress schema.Progress, sent bool) error {
	parent := a.call.Parent
	late := timeLeft(parent.Deadline) == 0
	// The watch cancels the attempt, not the call.
	canceled := !late && a.callerCanceled()
	result := balancer.Unreachable
	if late || canceled {
		result = balancer.Abandoned
	}
	a.target.Done(result, time.Since(a.sent))
	if canceled && sent {
		return &refuser.Error{Code: refuser.CallerGone}
	}
	if !sent {
		parent.Budget.Restore(a.delegatedRetries)
		if late {
			return &refuser.Error{Code: refuser.DeadlineBeforeRun}
		}
		return &refuser.Error{Code: refuser.PeerUnreachable}
	}
	if progress == schema.Progress_PROGRESS_UNSPECIFIED {
		// The attempt's context may have ended; the question is asked all the same.
		progress = d.checkAfterFailure(context.WithoutCancel(ctx), a, late)
	}
	if progress == schema.Progress_PROGRESS_FENCED {
		parent.Budget.Restore(a.delegatedRetries)
		if late {
			return &refuser.Error{Code: refuser.DeadlineBeforeRun}
		}
		return &refuser.Error{Code: refuser.AttemptFenced}
	}
	if late {
		return &refuser.Error{Code: refuser.DeadlinePassed}
	}
	return &refuser.Error{Code: refuser.ConnectionLost}
}
