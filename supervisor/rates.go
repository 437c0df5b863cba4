package supervisor

import "time"

const (
	// rateLogInterval is the interval at which the rate of an upstream with a rate
	// limit is logged.
	rateLogInterval = time.Second
	// rateLimitHold is the time for which a rate limit stays in force after the last
	// response that stated it, since responses may arrive out of order.
	rateLimitHold = 500 * time.Millisecond
)

// recallRate puts the rate limit in force that is remembered of the current instance,
// if this process has no response of it yet. The caller holds the lock.
func (s *Supervisor) recallRate(now time.Time) {
	if rate := s.options.Memory.Rate(s.current.id, s.current.born); rate > 0 && s.rateLimitAt.IsZero() {
		s.setRateLimit(rate, now)
	}
}

// setRateLimit puts a rate limit in force; zero removes it. The caller holds the lock.
func (s *Supervisor) setRateLimit(rate float64, now time.Time) {
	if rate != s.rateLimit {
		s.options.Reporter.Notice("upstream_limited", "upstream", s.current.id, "rate", rate, "before", s.rateLimit)
		s.rateLimit = rate
		s.guard.SetRateLimit(rate)
	}
	s.rateLimitAt = now
	s.options.Memory.RecordRate(s.current.id, s.current.born, rate)
}

// observeRate records the rate limit in a response, which is zero if the response
// states none. The caller holds the lock.
func (s *Supervisor) observeRate(rate float64, now time.Time) {
	s.responses++
	switch {
	case rate > 0 || s.rateLimitAt.IsZero():
		s.setRateLimit(rate, now)
	case s.rateLimit > 0 && now.Sub(s.rateLimitAt) >= rateLimitHold:
		s.setRateLimit(0, now)
	}
}

// logRate logs the rate of responses of an upstream with a rate limit, once per
// rateLogInterval.
func (s *Supervisor) logRate(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.rateLoggedAt)
	if elapsed < rateLogInterval {
		return
	}
	if s.rateLimit > 0 {
		s.options.Reporter.Notice("upstream_rate", "upstream", s.current.id, "rate", float64(s.responses)/elapsed.Seconds(), "limit", s.rateLimit,
			"limit_age", now.Sub(s.rateLimitAt))
	}
	s.responses, s.rateLoggedAt = 0, now
}
