package lender

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/limiter"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// lendableRate is the share of a rate that may be lent. The rest supplies
	// single tokens to nodes without a loan.
	lendableRate = 0.95
	// lendableBurst is the share of a burst that may be lent.
	lendableBurst = 0.8
	// headroom is the ratio of a loan to the reported demand while the lendable
	// rate covers the demand of all borrowers.
	headroom = 1.25
	// burstDemandTime is the time for which a lent burst covers the demand. The
	// pool supplies larger bursts.
	burstDemandTime = 100 * time.Millisecond
	// minBurst is the minimum lent burst, in tokens, while the lendable burst
	// covers it for all borrowers.
	minBurst = 10.0
	// minBurstShare limits that minimum to a share of the configured burst.
	minBurstShare = 0.125
	// scarceRatio is the ratio of a loan to its fair rate if the rate is nearly
	// used up. Borrowers top up from the pool, so that no rate is lost in full
	// buckets.
	scarceRatio = 0.85
	// steadyRefresh is the time between reports of steady demand.
	steadyRefresh = 10 * time.Second
	// scarceRefresh is the time between reports while the rate is nearly used up
	// or pool tokens were sent since the last report.
	scarceRefresh = 500 * time.Millisecond
	// steadySpacing and scarceSpacing are the minimum average times between two
	// reports on one workspace, over all its borrowers.
	steadySpacing = 80 * time.Millisecond
	scarceSpacing = 20 * time.Millisecond
)

const (
	// minReportSpacing limits the reports of all borrowers on one workspace to
	// 333 per second.
	minReportSpacing = 3 * time.Millisecond
	// levelsPerCycle is the maximum number of computations of the max-min level
	// in the time in which every borrower may report once.
	levelsPerCycle = 10
	// maxChanges is the number of changes after which the total is recomputed, so
	// that rounding errors do not accumulate.
	maxChanges = 4096
)

// entry holds the demand and the loan of one borrower.
type entry struct {
	demand float64
	// rate and burst are the maximum amounts that the borrower may hold.
	rate  float64
	burst float64
	// sentTokens is the number of tokens sent in addition to the burst since the
	// last report.
	sentTokens float64
}

// ledger records how one workspace's rate and burst are divided among borrowers.
type ledger struct {
	limit   resolver.Limit
	entries map[borrowerID]*entry
	// total is the sum of all entries. It is maintained incrementally, so that
	// the cost of a report does not depend on the number of borrowers.
	total entry
	// changes counts changes of the total since it was last recomputed.
	changes int
	// fairLevel is the cached level of max-min fairness; see cachedLevel.
	fairLevel       float64
	levelComputedAt time.Time
	// pool holds the tokens that are not lent.
	pool limiter.Bucket
}

// ledger returns the ledger of a workspace, updated to its configured limit, and
// creates it if necessary.
func (s *shard) ledger(workspace string, limit resolver.Limit, now time.Time) *ledger {
	l := s.ledgers[workspace]
	if l == nil {
		l = &ledger{entries: map[borrowerID]*entry{}}
		l.pool = limiter.Bucket{Rate: limit.Rate, Cap: limit.Burst, Updated: now}
		if s.pristine {
			l.pool.Tokens = limit.Burst
		}
		s.ledgers[workspace] = l
	}
	l.limit = limit
	l.discardEarlyTokens(s.refillsFrom, now)
	l.resizePool(now)
	return l
}

// discardEarlyTokens drops the tokens that the pool accrued before refillsFrom.
func (l *ledger) discardEarlyTokens(refillsFrom, now time.Time) {
	if !l.pool.Updated.Before(refillsFrom) {
		return
	}
	l.pool.Tokens = 0
	l.pool.Updated = refillsFrom
	if now.Before(refillsFrom) {
		l.pool.Updated = now
	}
}

// recordDemand replaces a borrower's entry by its report.
func (l *ledger) recordDemand(id borrowerID, d *schema.Demand) *entry {
	e := l.entries[id]
	if e == nil {
		e = &entry{}
		l.entries[id] = e
	}
	l.setEntry(e, entry{demand: d.GetRate(), rate: d.GetHeld(), burst: d.GetCap()})
	return e
}

// resizePool sets rate and cap of the pool to the amounts that are not lent.
func (l *ledger) resizePool(now time.Time) {
	rate := l.limit.Rate - l.total.rate
	burst := l.limit.Burst - l.total.burst - l.total.sentTokens
	l.pool.Resize(now, rate, burst)
}

// setEntry replaces an entry and updates the total.
func (l *ledger) setEntry(e *entry, next entry) {
	l.total.addScaled(e, -1)
	*e = next
	l.total.addScaled(e, 1)
	l.changes++
	if l.changes >= maxChanges {
		l.recomputeTotal()
	}
}

// remove deletes an entry and updates the total.
func (l *ledger) remove(id borrowerID) {
	if e := l.entries[id]; e != nil {
		l.total.addScaled(e, -1)
		delete(l.entries, id)
	}
}

// recomputeTotal sums up all entries, which removes accumulated rounding errors.
func (l *ledger) recomputeTotal() {
	l.total, l.changes = entry{}, 0
	for _, e := range l.entries {
		l.total.addScaled(e, 1)
	}
}

// addScaled adds a multiple of another entry to this one.
func (e *entry) addScaled(other *entry, factor float64) {
	e.demand += factor * other.demand
	e.rate += factor * other.rate
	e.burst += factor * other.burst
	e.sentTokens += factor * other.sentTokens
}

// lend records a demand and returns the new loan.
func (l *ledger) lend(id borrowerID, d *schema.Demand, now time.Time) *schema.Loan {
	e := l.recordDemand(id, d)
	l.resizePool(now)
	l.pool.Tokens = min(l.pool.Cap, l.pool.Tokens+max(d.GetReturned(), 0))
	loan := &schema.Loan{Workspace: d.GetWorkspace()}
	loan.Rate = l.resizeRate(e, now)
	loan.Cap, loan.Tokens = l.resizeBurst(e, now)
	l.resizePool(now)
	loan.Tokens += l.sendTokens(e, d.GetTokens()-loan.Tokens)
	loan.Refresh = durationpb.New(l.refreshInterval(e))
	loan.Pause = durationpb.New(time.Duration(len(l.entries)) * minReportSpacing)
	if e.demand == 0 && e.rate == 0 && e.burst == 0 && e.sentTokens == 0 {
		l.remove(id)
	}
	return loan
}

// renew records a loan of the previous term and renews it unchanged.
func (l *ledger) renew(id borrowerID, d *schema.Demand) *schema.Loan {
	l.recordDemand(id, d)
	return &schema.Loan{
		Workspace: d.GetWorkspace(),
		Rate:      d.GetHeld(),
		Cap:       d.GetCap(),
		Former:    true,
		Refresh:   durationpb.New(scarceRefresh),
		Pause:     durationpb.New(scarceRefresh),
	}
}

// resizeRate returns the rate that the borrower may hold from now on.
func (l *ledger) resizeRate(e *entry, now time.Time) float64 {
	target := l.fairRate(e.demand, now)
	if target > e.rate {
		target = min(target, e.rate+l.pool.Rate)
		next := *e
		next.rate = target
		l.setEntry(e, next)
	}
	return target
}

// fairRate returns the rate for a borrower with the given demand: the demand with
// headroom if the lendable rate covers that for all borrowers, else a share by
// max-min fairness.
func (l *ledger) fairRate(demand float64, now time.Time) float64 {
	lendable := lendableRate * l.limit.Rate
	if headroom*l.total.demand <= lendable {
		return headroom * demand
	}
	return scarceRatio * min(demand, l.cachedLevel(lendable, now))
}

// cachedLevel returns the max-min level: the sum of the demands, each capped at
// that level, equals the lendable rate. The level is recomputed at most
// levelsPerCycle times in the time in which every borrower may report once.
func (l *ledger) cachedLevel(lendable float64, now time.Time) float64 {
	interval := time.Duration(len(l.entries)) * minReportSpacing / levelsPerCycle
	if l.levelComputedAt.IsZero() || now.Sub(l.levelComputedAt) >= interval {
		l.fairLevel, l.levelComputedAt = l.computeLevel(lendable), now
	}
	return l.fairLevel
}

func (l *ledger) computeLevel(lendable float64) float64 {
	demands := make([]float64, 0, len(l.entries))
	for _, e := range l.entries {
		demands = append(demands, e.demand)
	}
	slices.Sort(demands)
	for i, d := range demands {
		share := lendable / float64(len(demands)-i)
		if d >= share {
			return share
		}
		lendable -= d
	}
	return lendable + l.total.demand
}

// resizeBurst returns the burst that the borrower may hold from now on, and the
// pool tokens transferred with an increase.
func (l *ledger) resizeBurst(e *entry, now time.Time) (burst, tokens float64) {
	demand := l.total.demand
	if demand <= 0 || e.demand <= 0 {
		return 0, 0
	}
	share := lendableBurst * l.limit.Burst * e.demand / demand
	minimum := min(minBurst, minBurstShare*l.limit.Burst)
	target := min(share, max(minimum, e.demand*burstDemandTime.Seconds()))
	if target <= e.burst {
		return target, 0
	}
	target = min(target, e.burst+l.pool.Cap)
	raise := target - e.burst
	if l.pool.Cap > 0 {
		tokens = l.pool.Tokens * raise / l.pool.Cap
	}
	l.pool.Tokens -= tokens
	next := *e
	next.burst = target
	l.setEntry(e, next)
	l.resizePool(now)
	return target, tokens
}

// sendTokens takes tokens from the pool for requests that wait at the borrower.
// They count against the burst until the next report.
func (l *ledger) sendTokens(e *entry, requested float64) float64 {
	sent := min(requested, float64(int(l.pool.Tokens)))
	if sent <= 0 {
		return 0
	}
	l.pool.Tokens -= sent
	l.pool.Cap -= sent
	next := *e
	next.sentTokens += sent
	l.setEntry(e, next)
	return sent
}

// refreshInterval returns the time until the borrower's next report. It grows
// with the number of borrowers to bound the load on the holder.
func (l *ledger) refreshInterval(e *entry) time.Duration {
	borrowers := time.Duration(len(l.entries))
	scarce := headroom*l.total.demand > lendableRate*l.limit.Rate
	if e.sentTokens > 0 || scarce {
		return max(scarceRefresh, borrowers*scarceSpacing)
	}
	return max(steadyRefresh, borrowers*steadySpacing)
}

// exportLedgers returns the ledgers in the wire form for the next holder.
func (s *shard) exportLedgers(now time.Time) []*schema.Book {
	var ledgers []*schema.Book
	for workspace, l := range s.ledgers {
		l.resizePool(now)
		exported := &schema.Book{Workspace: workspace, Tokens: l.pool.Tokens}
		for id, e := range l.entries {
			exported.Entries = append(exported.Entries, &schema.Entry{
				Borrower:    id.name,
				Incarnation: id.incarnation,
				Number:      s.lastNumbers[id],
				Demand:      e.demand,
				Rate:        e.rate,
				Cap:         e.burst,
				Flight:      e.sentTokens,
			})
		}
		ledgers = append(ledgers, exported)
	}
	return ledgers
}

// importLedgers loads the ledgers received from the previous holder.
func (s *shard) importLedgers(ledgers []*schema.Book, now time.Time) {
	for _, received := range ledgers {
		l := &ledger{entries: map[borrowerID]*entry{}}
		l.pool = limiter.Bucket{Tokens: received.GetTokens(), Updated: now}
		for _, e := range received.GetEntries() {
			id := borrowerID{e.GetBorrower(), e.GetIncarnation()}
			l.entries[id] = &entry{e.GetDemand(), e.GetRate(), e.GetCap(), e.GetFlight()}
			s.lastNumbers[id] = max(s.lastNumbers[id], e.GetNumber())
		}
		l.recomputeTotal()
		s.ledgers[received.GetWorkspace()] = l
	}
}
