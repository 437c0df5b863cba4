package supervisor

import "time"

// claimPatience is the time for which an instance that has reported itself may not answer
// before its report is taken for a late one, unless it has started last.
const claimPatience = 2 * time.Second

// occupant is what is known of the instance that stands at the address, whichever service it
// belongs to.
type occupant struct {
	// id is the instance that was found or reported last, or empty if none was.
	id string
	// doubtedAt is when it became doubtful that this instance is still there, which a health
	// check must tell, or zero. claimant is the instance that was reported then, if any:
	// reports may be late, or come from other writers.
	doubtedAt time.Time
	claimant  instance
	// refuted is the last claimant that a health check did not find.
	refuted instance
}

func (o *occupant) isDoubted() bool { return !o.doubtedAt.IsZero() }

// LocalService returns the service of the instance that stands at the address. It returns
// false while that is not known. The settings tell it until an instance is reported or
// recalled.
func (s *Supervisor) LocalService() (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.occupant.isDoubted():
		return "", false
	case s.occupant.id == "":
		return s.options.Service, true
	case s.occupant.id == s.current.id && s.reported && s.confirmed:
		return s.options.Service, true
	default:
		stated, ok := s.statements.byID[s.occupant.id]
		return stated.Service, ok && stated.Service != ""
	}
}

// claim records that an instance has reported itself at the address. A health check must tell
// at once whether it is there, unless it may be used and has started last. The caller holds
// the lock.
func (s *Supervisor) claim(i instance, isUsable bool, now time.Time) {
	switch {
	case s.occupant.id == i.id || s.occupant.refuted == i:
		return
	case isUsable && s.statements.latest.ID == i.id:
		s.occupant = occupant{id: i.id}
		return
	}
	s.occupant.claimant = i
	s.verify(now)
}

// Verify makes a health check tell at once which instance stands at the address.
func (s *Supervisor) Verify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verify(time.Now())
}

// verify is Verify for callers that hold the lock.
func (s *Supervisor) verify(now time.Time) {
	s.occupant.doubtedAt, s.lastProbe = now, time.Time{}
	s.wake()
}

// occupy records the instance that a health check has found, which began at the given time. The
// ID is empty if nothing answered; then the address is left in the end to its claimant if
// that has started last, unless only an earlier process has heard of it. It reports
// whether the upstream stopped accepting requests, since an instance of another service
// was found. The caller holds the lock.
func (s *Supervisor) occupy(id string, began time.Time) bool {
	claimant, isAnswered := s.occupant.claimant, id != ""
	switch {
	case s.occupant.isDoubted() && began.Before(s.occupant.doubtedAt):
		return false
	case !isAnswered && s.statements.byID[claimant.id].recalled:
		return false
	case !isAnswered && claimant.id != "" && time.Since(s.occupant.doubtedAt) < claimPatience:
		return false
	case !isAnswered && claimant.id != "" && s.statements.latest.ID == claimant.id:
		id = claimant.id
	case !isAnswered:
		id = s.occupant.id
	case claimant.id != "" && id != claimant.id:
		s.occupant.refuted = claimant
	}
	if id != s.occupant.id {
		s.options.Reporter.Event("address_occupied", "upstream", id, "before", s.occupant.id, "service", s.statements.byID[id].Service)
	}
	s.occupant.id, s.occupant.claimant, s.occupant.doubtedAt = id, instance{}, time.Time{}
	if !isAnswered || !s.confirmed || id == s.current.id || s.isOwn(id) {
		return false
	}
	ready := s.ready()
	s.loseConfirmation("another instance has its address")
	return ready
}
