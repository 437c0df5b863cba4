package forwarder

import (
	"context"
	"math"
	"sync"
	"time"

	"quetzalhub/balancer"
	"quetzalhub/fencer"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/util/repeater"
)

const (
	// checkTimeout is the timeout of one check of an attempt, and of settling
	// an idempotency key.
	checkTimeout = 500 * time.Millisecond
	// maxUnansweredChecks is the number of checks without a usable answer after
	// which an attempt of an idempotent call is given up.
	maxUnansweredChecks = 3
	// maxCheckAge is the largest age of an attempt at which the result of a
	// check is used. It is below the time for which receivers remember attempts.
	maxCheckAge = fencer.Retention - 10*time.Second
)

// attemptWatch checks the progress of an attempt until its response arrives.
type attemptWatch struct {
	dispatcher *Dispatcher
	cancel     context.CancelFunc
	attempt    *attempt
	timer      *time.Timer
	ctx        context.Context

	// mu protects the fields below, since the response may arrive during a check.
	mu sync.Mutex
	// stopped is true once the attempt has ended or its response has begun.
	stopped bool
	// finalProgress is the progress for which the watch canceled the attempt, if it did.
	finalProgress schema.Progress

	// The fields below are accessed only by run.

	// unanswered is the number of checks without a usable answer since the
	// receiver last reported the attempt as running.
	unanswered int
	// doneReports is the number of checks that found the attempt done.
	doneReports int
	// ticks is the number of timer ticks so far.
	ticks int
}

// startWatch starts checking an attempt after the check interval.
func (d *Dispatcher) startWatch(ctx context.Context, cancel context.CancelFunc, a *attempt) *attemptWatch {
	w := &attemptWatch{dispatcher: d, cancel: cancel, attempt: a, ctx: ctx}
	// run uses the timer, so it is started only once it is assigned.
	w.timer = time.AfterFunc(math.MaxInt64, w.run)
	w.schedule()
	return w
}

// schedule starts the timer of the next check. The timers of all attempts are aligned,
// since most attempts end before their first check.
func (w *attemptWatch) schedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(repeater.Align(w.dispatcher.checkInterval, w.dispatcher.checkInterval/2))
}

// run makes one check. It schedules the next one or cancels the attempt.
func (w *attemptWatch) run() {
	if w.skipCheck() {
		w.schedule()
		return
	}
	progress := w.dispatcher.checkAttempt(w.ctx, w.attempt)
	if w.ctx.Err() != nil {
		return
	}
	if w.keepWaiting(progress) {
		w.schedule()
		return
	}
	w.giveUp(progress)
}

// giveUp cancels the attempt, unless its response has begun.
func (w *attemptWatch) giveUp(p schema.Progress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped, w.finalProgress = true, p
	w.cancel()
}

// forcedCheckTicks is the number of timer ticks per check that is made even if
// heartbeats of the receiver arrive. A single connection may have stopped
// working while others still work.
const forcedCheckTicks = 4

// skipCheck reports whether this tick needs no check because the heartbeats of
// the receiver still arrive.
func (w *attemptWatch) skipCheck() bool {
	l, ok := w.dispatcher.checker.(LivenessChecker)
	if !ok {
		return false
	}
	w.ticks++
	return w.ticks%forcedCheckTicks != 0 && l.Alive(w.attempt.target.Member.GetName())
}

// keepWaiting reports whether to keep waiting for the response after a check.
func (w *attemptWatch) keepWaiting(progress schema.Progress) bool {
	switch progress {
	case schema.Progress_PROGRESS_RUNNING:
		w.unanswered = 0
		return true
	case schema.Progress_PROGRESS_DONE:
		// The response may still be in transit. If the next check gives the same
		// result, it is lost.
		w.doneReports++
		return w.doneReports < 2
	case schema.Progress_PROGRESS_FENCED:
		return false
	default:
		// Giving up early does not help a call that is not idempotent. A receiver
		// that becomes reachable again can still respond or fence the attempt.
		w.unanswered++
		return w.unanswered < maxUnansweredChecks || !w.attempt.call.Route.Idempotent
	}
}

// stop ends the watch, also if a check is under way. It returns the progress for which the
// watch has canceled the attempt, or PROGRESS_UNSPECIFIED if it has not.
func (w *attemptWatch) stop() schema.Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.finalProgress
}

// expiredCheckTimeout is the timeout of a check after the deadline has passed. It
// is short because the caller must get its response now.
const expiredCheckTimeout = 30 * time.Millisecond

// checkAfterFailure checks an attempt whose connection failed. expired is true if
// the deadline has passed.
func (d *Dispatcher) checkAfterFailure(ctx context.Context, a *attempt, expired bool) schema.Progress {
	if expired {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, expiredCheckTimeout)
		defer cancel()
	}
	return d.checkAttempt(ctx, a)
}

// checkAttempt asks the receiver for the progress of an attempt.
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

// attemptError returns the refusal for an attempt whose connection failed. sent
// is false if no byte of the attempt was sent.
func (d *Dispatcher) attemptError(ctx context.Context, a *attempt, progress schema.Progress, sent bool) error {
	parent := a.call.Parent
	expired := timeLeft(parent.Deadline) == 0
	// The watch cancels only the context of the attempt, so a canceled call
	// means that the caller has disconnected.
	canceled := !expired && a.callerCanceled()
	result := balancer.Unreachable
	cut := !expired && a.call.Body.err() != nil
	if expired || canceled || cut {
		result = balancer.Abandoned
	}
	a.target.Done(result, time.Since(a.sent))
	if cut && sent {
		return &refuser.Error{Code: refuser.BodyCut}
	}
	if canceled && sent {
		return &refuser.Error{Code: refuser.CallerGone}
	}
	if !sent {
		parent.Budget.Restore(a.delegatedRetries)
		if expired {
			return &refuser.Error{Code: refuser.DeadlineBeforeRun}
		}
		return &refuser.Error{Code: refuser.PeerUnreachable}
	}
	if progress == schema.Progress_PROGRESS_UNSPECIFIED {
		// The check is made even if the context of the attempt has ended.
		progress = d.checkAfterFailure(context.WithoutCancel(ctx), a, expired)
	}
	if progress == schema.Progress_PROGRESS_FENCED {
		parent.Budget.Restore(a.delegatedRetries)
		if expired {
			return &refuser.Error{Code: refuser.DeadlineBeforeRun}
		}
		return &refuser.Error{Code: refuser.AttemptFenced}
	}
	if expired {
		return &refuser.Error{Code: refuser.DeadlinePassed}
	}
	return &refuser.Error{Code: refuser.ConnectionLost}
}
