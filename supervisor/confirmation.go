package supervisor

import (
	"context"
	"errors"
	"time"

	"quetzalhub/util/repeater"
)

// Run confirms the upstream by health checks when needed, until the context ends.
func (s *Supervisor) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.lost:
		}
		if s.needsProbe() {
			s.probe(ctx)
		}
		s.logRate(time.Now())
		if s.isConfirmed() && !s.checkIsDue() {
			timer.Reset(untilSilencePoll())
		} else {
			timer.Reset(probePollInterval)
		}
	}
}

// untilSilencePoll returns the time until halfway between two multiples of the interval. At
// the multiples the shedder decides, and would take a silent upstream for lost while its
// health check is on its way.
func untilSilencePoll() time.Duration {
	const offset = silencePollInterval / 2
	return repeater.Align(offset, silencePollInterval) - offset
}

func (s *Supervisor) isConfirmed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.confirmed
}

// needsProbe reports whether a health check is due. An upstream that has sent no
// report for too long loses its confirmation here. A confirmed upstream is checked once
// for each sign that it may have turned cold.
func (s *Supervisor) needsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed && !s.draining && !s.lastSeen.IsZero() && time.Since(s.lastSeen) > s.silenceTimeout() {
		s.options.Reporter.Notice("upstream_silent", "upstream", s.current.id, "report_age", time.Since(s.lastSeen))
		s.confirmed, s.trustReports = false, false
		s.suspectCold("silent")
	}
	s.suspectUnnoticed(time.Now())
	s.warmth.tickedAt = time.Now()
	interval := probeInterval
	if s.warmth.checkDue {
		interval = checkInterval
	}
	isWanted := (!s.confirmed || s.warmth.checkDue) && !s.draining && len(s.statements.byID) > 0
	return (isWanted || s.occupant.isDoubted()) && time.Since(s.lastProbe) >= interval
}

func (s *Supervisor) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	health, err := s.options.Prober.Probe(ctx, s.options.Address)
	if errors.Is(err, ErrNoHealthCheck) {
		return
	}
	s.mu.Lock()
	s.lastProbe = time.Now()
	if s.warmth.checkDue {
		s.warmth.checks++
		s.warmth.checkDue = began.Before(s.warmth.signAt)
	}
	if health.ID != "" && !s.isValidID(health.ID, "health check") {
		health.ID = ""
	}
	changed := s.occupy(health.ID, began)
	s.mu.Unlock()
	if err == nil && health.ID != "" && s.confirm(health, began) || changed {
		s.options.OnChange()
	}
}

// confirm records that an upstream is healthy. It returns false if that upstream is
// leaving, or may belong to another service.
func (s *Supervisor) confirm(h Health, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOwn(h.ID) {
		s.options.Reporter.Event("upstream_unreported", "upstream", h.ID, "before", s.current.id, "stated", s.statements.byID[h.ID].Service)
		return false
	}
	found := s.statements.byID[h.ID].instance()
	if s.current.id == h.ID {
		if s.doubted || began.Before(s.settledAt) {
			return false
		}
		found = s.current
	}
	if h.Status.Leaving {
		s.leave(found, "stated in a health check")
	}
	if s.options.Memory.Departed(found.id, found.born) {
		return false
	}
	now := time.Now()
	if s.current != found {
		s.replaceInstance(found, now)
	}
	if h.Status.RateLimit > 0 {
		s.setRateLimit(h.Status.RateLimit, now)
	}
	s.checkedCold(h.Cold, began, now)
	s.lastSeen = now
	s.confirmed, s.trustReports = true, true
	s.options.Reporter.Notice("upstream_confirmed", "upstream", h.ID)
	return true
}
