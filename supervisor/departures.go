package supervisor

import (
	"slices"
	"time"
)

// maxSuperseded is the number of earlier starts that are kept of an ID.
const maxSuperseded = 8

// Leave records that an instance of the upstream is leaving, and returns its start time if
// that is known.
func (s *Supervisor) Leave(id string, born int64) int64 {
	if !s.isValidID(id, "leave") {
		return born
	}
	s.mu.Lock()
	if born == 0 && s.current.id == id {
		born = s.current.born
	}
	if born == 0 {
		born = s.statements.byID[id].Born
	}
	changed := s.leave(instance{id, born}, "announced by upstream")
	s.mu.Unlock()
	if changed {
		s.options.OnChange()
	}
	return born
}

// RecallDeparture applies a departure that an earlier process of the node has kept. It tells
// nothing about a later start with the same ID.
func (s *Supervisor) RecallDeparture(id string, born int64) {
	if !s.isValidID(id, "recalled") {
		return
	}
	s.mu.Lock()
	changed := false
	if id == s.current.id && born < s.current.born {
		s.options.Memory.RecordDeparture(id, born)
	} else {
		changed = s.leave(instance{id, born}, "recalled")
	}
	s.mu.Unlock()
	if changed {
		s.options.OnChange()
	}
}

// leave records the departure of an instance. It reports whether the upstream stopped
// accepting requests. The caller holds the lock.
//
// The departure may be the first sign of a start, since reports may be late and a health
// check states no start time. It binds the instance at the address unless it names a start
// that is known to be over, or another ID: requests name the current one.
func (s *Supervisor) leave(leaving instance, reason string) bool {
	s.options.Memory.RecordDeparture(leaving.id, leaving.born)
	s.statements.start(leaving, time.Now())
	switch {
	case s.draining || leaving.id != s.current.id:
		return false
	case leaving.born == 0 && s.current.born != 0:
		return false
	case leaving.born > s.current.born:
		now := time.Now()
		s.replaceInstance(leaving, now)
		s.reportedAt = now
	case leaving.born < s.current.born && s.statements.isSuperseded(leaving):
		return false
	case leaving.born < s.current.born:
		return s.doubt(leaving)
	}
	s.drain(reason)
	return true
}

// doubt stops the use of the current instance, since an earlier start with its ID leaves that
// was never reported. The clock of the host may have been set back before that start, or
// the departure may be late. Reports of the current instance tell, but may be late
// themselves. The caller holds the lock.
func (s *Supervisor) doubt(leaving instance) bool {
	ready := s.ready()
	s.doubted, s.settledAt = true, time.Now().Add(s.silenceTimeout())
	s.loseConfirmation("an unknown start with its ID leaves")
	s.options.Reporter.Notice("upstream_doubted", "upstream", leaving.id, "born", s.current.born, "leaving", leaving.born)
	return ready
}

// settleDoubt lets a health check confirm the current instance again, if a report of it is too
// late to be one from before the departure. The caller holds the lock.
func (s *Supervisor) settleDoubt(now time.Time) {
	if s.doubted && now.After(s.settledAt) {
		s.doubted, s.settledAt, s.lastProbe = false, now, time.Time{}
	}
}

// start records a start that a departure tells of, so that reports of earlier starts count as
// late. The service is that of its ID, if that is known.
func (l *statements) start(i instance, now time.Time) {
	before := l.byID[i.id]
	if i.born > before.Born {
		l.add(statement{Statement: Statement{i.id, i.born, before.Service}, at: now}, 0)
	}
}

// isSuperseded reports whether an instance was reported before a later start with its ID.
func (l *statements) isSuperseded(i instance) bool {
	return slices.Contains(l.byID[i.id].superseded, i.born)
}
