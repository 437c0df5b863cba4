package supervisor

import (
	"time"

	"quetzalhub/guard"
)

// quietIntervals is the number of report intervals without a report or a response after
// which an upstream may have turned cold unnoticed.
const quietIntervals = 2

// maxTick is the time between two polls of Run above which this process was suspended.
const maxTick = 700 * time.Millisecond

// checkInterval is the least time between a health check and one that a later sign of a
// cold upstream asks for.
const checkInterval = 200 * time.Millisecond

// Warmup is what is configured of the upstreams of a service after their start.
type Warmup struct {
	// Time is the time for which an upstream is cold after its start.
	Time time.Duration
	// Intake is the number of requests per second that a cold upstream bears, or zero if
	// there is no limit.
	Intake float64
}

// Warmups provides the configured warm-up of a service.
type Warmups interface {
	Warmup(service string) Warmup
}

// Bound limits the requests that may reach a cold upstream in any second: Ratio times
// those that it bears, and Margin more.
type Bound struct{ Ratio, Margin float64 }

// warmth holds until when the current instance counts as cold.
//
// Reports may have been sent before an upstream turned cold and arrive after, so within a
// report interval after other evidence they only extend that time. A health check that
// began after the last sign is decisive.
type warmth struct {
	coldUntil time.Time
	// evidenceAt is the time of the last health check or sign that the instance may have
	// turned cold, and signAt that of the last sign.
	evidenceAt, signAt time.Time
	// checkDue is true if a health check must tell whether the instance is cold.
	checkDue bool
	// heardAt is the time of the last report or response.
	heardAt time.Time
	// tickedAt is the time of the last poll of Run.
	tickedAt time.Time
	turns    uint64
	checks   uint64
}

// Warmth is the state of the upstream as published to operators.
type Warmth struct {
	// Cold is the time for which the upstream stays cold.
	Cold time.Duration `json:"cold"`
	// Turns counts how often it turned cold, and Checks the health checks that were made
	// because it might have.
	Turns  uint64 `json:"turns"`
	Checks uint64 `json:"checks"`
	// Refused counts the requests that the current instance was spared while it was cold.
	Refused uint64 `json:"refused"`
}

// Warmth returns whether the upstream is cold, and what followed from that.
func (s *Supervisor) Warmth() Warmth {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := Warmth{Cold: max(time.Until(s.warmth.coldUntil), 0), Turns: s.warmth.turns, Checks: s.warmth.checks}
	if s.guard != nil {
		w.Refused = s.guard.IntakeRefusals()
	}
	return w
}

// Recheck makes the upstream count as cold until a health check that begins from now on
// tells otherwise, and makes that check at once. It has no effect if the intake of cold
// upstreams is not limited.
func (s *Supervisor) Recheck() {
	s.mu.Lock()
	s.suspectCold("checked again")
	s.mu.Unlock()
	s.wake()
}

// wake makes Run see at once whether a health check is due.
func (s *Supervisor) wake() {
	select {
	case s.lost <- struct{}{}:
	default:
	}
}

func (s *Supervisor) warmup() Warmup {
	if s.options.Warmups == nil {
		return Warmup{}
	}
	return s.options.Warmups.Warmup(s.options.Service)
}

// suspectCold makes the current instance count as cold until a health check, or a report
// made later, tells otherwise. The caller holds the lock.
func (s *Supervisor) suspectCold(why string) {
	w := s.warmup()
	if s.guard == nil || w.Intake <= 0 {
		return
	}
	now := time.Now()
	s.warmth.signAt, s.warmth.evidenceAt, s.warmth.checkDue = now, now, true
	if end := now.Add(w.Time); end.After(s.warmth.coldUntil) {
		s.setCold(end, why, now)
	}
}

// reportedCold applies the cold time in a report. The caller holds the lock.
func (s *Supervisor) reportedCold(cold time.Duration, now time.Time) {
	end := now.Add(cold)
	late := now.Sub(s.warmth.evidenceAt) < s.options.Interval && s.warmup().Intake > 0
	if late && end.Before(s.warmth.coldUntil) {
		end = s.warmth.coldUntil
	}
	s.setCold(end, "reported", now)
}

// checkedCold applies the cold time in the response to a health check that began at the
// given time. The caller holds the lock.
func (s *Supervisor) checkedCold(cold time.Duration, began, now time.Time) {
	if s.warmup().Intake <= 0 {
		return
	}
	end := now.Add(cold)
	if began.Before(s.warmth.signAt) {
		if end.Before(s.warmth.coldUntil) {
			end = s.warmth.coldUntil
		}
	} else {
		s.warmth.checkDue = false
	}
	s.warmth.evidenceAt = now
	s.setCold(end, "health check", now)
}

// setCold makes the current instance count as cold until the given time, and puts the
// configured limit in force. The caller holds the lock.
func (s *Supervisor) setCold(until time.Time, why string, now time.Time) {
	w := s.warmup()
	was := s.warmth.coldUntil.After(now)
	s.warmth.coldUntil = until
	is := until.After(now)
	s.guard.SetIntake(guard.NewIntake(w.Intake, s.options.Bound.Ratio, s.options.Bound.Margin, until))
	if is && !was {
		s.warmth.turns++
	}
	if is != was && w.Intake > 0 {
		s.options.Reporter.Notice("upstream_cold", "upstream", s.current.id, "why", why, "left", max(until.Sub(now), 0), "intake", w.Intake)
	}
}

// checkIsDue reports whether a health check must tell whether the instance is cold.
func (s *Supervisor) checkIsDue() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.warmth.checkDue
}

// mayHaveTurned returns why the upstream may have started anew unnoticed, or an empty text.
// The caller may hold a read lock only.
func (s *Supervisor) mayHaveTurned(now time.Time) string {
	w := &s.warmth
	if !s.confirmed || s.draining || s.warmup().Intake <= 0 {
		return ""
	}
	switch {
	case now.Sub(w.heardAt) > quietIntervals*s.options.Interval && w.evidenceAt.Before(w.heardAt):
		return "quiet"
	case !w.tickedAt.IsZero() && now.Sub(w.tickedAt) > maxTick && w.evidenceAt.Before(w.tickedAt):
		return "node was not scheduled"
	default:
		return ""
	}
}

// suspectUnnoticed suspects the upstream if it may have started anew unnoticed: once if it
// has neither sent a report nor answered for some time, and if this process was suspended,
// since reports and requests that it then finds may be older than that start. The caller
// holds the lock.
func (s *Supervisor) suspectUnnoticed(now time.Time) {
	if why := s.mayHaveTurned(now); why != "" {
		s.suspectCold(why)
	}
}

// checkUnnoticed is suspectUnnoticed for callers without a lock.
func (s *Supervisor) checkUnnoticed() {
	now := time.Now()
	s.mu.RLock()
	turned := s.mayHaveTurned(now) != ""
	s.mu.RUnlock()
	if !turned {
		return
	}
	s.mu.Lock()
	s.suspectUnnoticed(now)
	s.mu.Unlock()
	s.wake()
}
