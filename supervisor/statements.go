package supervisor

import (
	"slices"
	"time"
)

// maxStatements is the number of instances whose statements are kept. The oldest ones are
// removed first.
const maxStatements = 8

// Statement is what an instance has stated in a report: which one it is, and its service.
// Nothing else tells the service of an instance. A health check tells the ID of the instance
// at an address, and its path may be that of all services.
type Statement struct {
	ID      string
	Born    int64
	Service string
}

// statement is the latest Statement of an ID.
type statement struct {
	Statement
	sequence uint64
	at       time.Time
	// recalled is true until a report has come to this process. The instance may have
	// started anew since, so its start time counts as unknown.
	recalled bool
	// superseded holds the start times that were stated before, the latest one last.
	superseded []int64
}

// instance returns the instance that a health check with this ID has found.
func (s statement) instance() instance {
	if s.recalled {
		return instance{id: s.ID}
	}
	return instance{s.ID, s.Born}
}

// isEarlier reports whether an instance started before the one of another statement.
func (s statement) isEarlier(than statement, patience time.Duration) bool {
	return s.Born < than.Born && s.at.Sub(than.at) < patience
}

// statements holds the latest statement of each ID, and that of the instance that has
// started last.
type statements struct {
	byID   map[string]statement
	latest statement
}

// add records a statement unless a report of a later start, or a later report, came first. It
// reports whether the statement was recorded. A start time that is lower than the one
// before is accepted after patience, since the clock of a host may have been set back.
func (l *statements) add(next statement, patience time.Duration) bool {
	before, ok := l.byID[next.ID]
	if ok && (next.isEarlier(before, patience) || !before.recalled && next.Born == before.Born && next.sequence <= before.sequence) {
		return false
	}
	if l.byID == nil {
		l.byID = map[string]statement{}
	}
	next.superseded = before.superseded
	if ok && before.Born != next.Born {
		next.superseded = append(slices.Clone(next.superseded), before.Born)
		next.superseded = next.superseded[max(0, len(next.superseded)-maxSuperseded):]
	}
	l.byID[next.ID] = next
	if next.Service != "" && (next.ID == l.latest.ID || !next.isEarlier(l.latest, patience)) {
		l.latest = next
	}
	l.removeOldest()
	return true
}

func (l *statements) removeOldest() {
	if len(l.byID) <= maxStatements {
		return
	}
	oldest := l.latest
	for _, s := range l.byID {
		if s.at.Before(oldest.at) {
			oldest = s
		}
	}
	delete(l.byID, oldest.ID)
}

// Recall applies what an earlier process of the node has kept of Stated. The instance is
// used once a health check has found it.
func (s *Supervisor) Recall(kept Statement) {
	if kept.Service == "" || !s.isValidID(kept.ID, "recalled") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if before := s.statements.byID[kept.ID]; before.Service == "" {
		kept.Born = max(kept.Born, before.Born)
		s.statements.add(statement{Statement: kept, at: time.Now(), recalled: true}, s.silenceTimeout())
	}
	if kept.Service != s.options.Service {
		s.claim(instance{kept.ID, kept.Born}, false, time.Now())
	}
}

// Stated returns what the instance at the address has stated, or else the one that started
// last. It is empty if none has stated anything.
func (s *Supervisor) Stated() Statement {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if stated := s.statements.byID[s.occupant.id]; stated.Service != "" {
		return stated.Statement
	}
	return s.statements.latest.Statement
}

// isOwn reports whether an instance that a health check has found belongs to the service of
// the node. The caller holds the lock.
func (s *Supervisor) isOwn(id string) bool { return s.statements.byID[id].Service == s.options.Service }

// record records what a report states. It returns false if the report is one of an earlier
// start of its instance. An instance that was not known before is checked at once. The
// caller holds the lock.
func (s *Supervisor) record(r Report, now time.Time) bool {
	next := statement{Statement: Statement{r.ID, r.Born, r.Service}, sequence: r.Sequence, at: now}
	before := s.statements.byID[r.ID]
	if s.statements.add(next, s.silenceTimeout()) && before.Statement != next.Statement && !s.confirmed {
		s.lastProbe = time.Time{}
	}
	return !next.isEarlier(before, s.silenceTimeout())
}
