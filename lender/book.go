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
	// lendableRate is the share of a rate that is lent; the rest serves single
	// tokens to nodes without a loan.
	lendableRate = 0.95
	// lendableBurst is the share of a burst that is lent.
	lendableBurst = 0.8
	// headroom is the ratio of a loan to the reported demand while the rate
	// suffices for all.
	headroom = 1.25
	// limitSpan is the time of demand that a lent burst covers. What bursts
	// need beyond comes from the pool.
	limitSpan = 100 * time.Millisecond
	// minLimit is the least lent burst where there is enough for all.
	minLimit = 10.0
	// minLimitShare bounds the least lent burst, as a share of the whole.
	minLimitShare = 0.125
	// tightShare is the ratio of a loan to demand if the rate is nearly used
	// up; borrowers top up from the pool, so that no rate is wasted in buckets
	// that are full.
	tightShare = 0.85
	// calmRefresh is the time between reports of steady demand.
	calmRefresh = 10 * time.Second
	// tightRefresh is the time between reports while demand exceeds the rate
	// or tokens are on their way.
	tightRefresh = 500 * time.Millisecond
	// calmSpacing and tightSpacing are the mean times between two reports on one
	// workspace.
	calmSpacing  = 80 * time.Millisecond
	tightSpacing = 20 * time.Millisecond
)

const (
	// pauseSpacing bounds the reports on one workspace to 333 a second in all.
	pauseSpacing = 3 * time.Millisecond
	// levelShare is the number of times that the level of fairness is worked
	// out in the time in which all borrowers may report.
	levelShare = 10
	// resum is the number of changes after which totals are summed up anew.
	resum = 4096
)

// entry is what the holder knows of one borrower.
type entry struct {
	demand float64
	// rate and limit are the largest amounts that the borrower may hold.
	rate  float64
	limit float64
	// flight is the number of tokens sent beyond the limit since the last report.
	flight float64
}

// book is the division of one workspace's rate and burst.
type book struct {
	limit   resolver.Limit
	entries map[borrowerID]*entry
	// total is the sum of all entries, kept so that a report costs the same
	// with any number of borrowers.
	total entry
	// changes counts changes of the total since it was last summed up anew.
	changes int
	// shared is the level of max-min fairness, worked out at most once in a
	// while.
	shared  float64
	leveled time.Time
	// pool holds the tokens that the holder keeps.
	pool limiter.Bucket
}

// book returns the book of a workspace, adapted to its configured limit.
func (s *shard) book(workspace string, limit resolver.Limit, now time.Time) *book {
	b := s.books[workspace]
	if b == nil {
		b = &book{entries: map[borrowerID]*entry{}}
		b.pool = limiter.Bucket{Rate: limit.Rate, Cap: limit.Burst, Updated: now}
		if s.pristine {
			b.pool.Tokens = limit.Burst
		}
		s.books[workspace] = b
	}
	b.limit = limit
	b.forgo(s.earns, now)
	b.settle(now)
	return b
}

// forgo drops what the pool earned before a time.
func (b *book) forgo(earns, now time.Time) {
	if !b.pool.Updated.Before(earns) {
		return
	}
	b.pool.Tokens = 0
	b.pool.Updated = earns
	if now.Before(earns) {
		b.pool.Updated = now
	}
}

// record replaces what is known of a borrower by its report.
func (b *book) record(id borrowerID, d *schema.Demand) *entry {
	e := b.entries[id]
	if e == nil {
		e = &entry{}
		b.entries[id] = e
	}
	b.set(e, entry{demand: d.GetRate(), rate: d.GetHeld(), limit: d.GetCap()})
	return e
}

// settle sets the pool to what is not lent.
func (b *book) settle(now time.Time) {
	rate := b.limit.Rate - b.total.rate
	burst := b.limit.Burst - b.total.limit - b.total.flight
	b.pool.Resize(now, rate, burst)
}

// set replaces an entry and keeps the total.
func (b *book) set(e *entry, next entry) {
	b.total.add(e, -1)
	*e = next
	b.total.add(e, 1)
	b.changes++
	if b.changes >= resum {
		b.sum()
	}
}

// remove deletes an entry and keeps the total.
func (b *book) remove(id borrowerID) {
	if e := b.entries[id]; e != nil {
		b.total.add(e, -1)
		delete(b.entries, id)
	}
}

// sum adds all entries up anew, so that rounding errors do not pile up.
func (b *book) sum() {
	b.total, b.changes = entry{}, 0
	for _, e := range b.entries {
		b.total.add(e, 1)
	}
}

// add adds a multiple of another entry.
func (e *entry) add(other *entry, factor float64) {
	e.demand += factor * other.demand
	e.rate += factor * other.rate
	e.limit += factor * other.limit
	e.flight += factor * other.flight
}

// lend records a demand and returns the new loan.
func (b *book) lend(id borrowerID, d *schema.Demand, now time.Time) *schema.Loan {
	e := b.record(id, d)
	b.settle(now)
	b.pool.Tokens = min(b.pool.Cap, b.pool.Tokens+max(d.GetReturned(), 0))
	loan := &schema.Loan{Workspace: d.GetWorkspace()}
	loan.Rate = b.resizeRate(e, now)
	loan.Cap, loan.Tokens = b.resizeLimit(e, now)
	b.settle(now)
	loan.Tokens += b.sendTokens(e, d.GetTokens()-loan.Tokens)
	loan.Refresh = durationpb.New(b.refresh(e))
	loan.Pause = durationpb.New(time.Duration(len(b.entries)) * pauseSpacing)
	if e.demand == 0 && e.rate == 0 && e.limit == 0 && e.flight == 0 {
		b.remove(id)
	}
	return loan
}

// confirm records a loan made before the holder lends and lets it go on as it is.
func (b *book) confirm(id borrowerID, d *schema.Demand) *schema.Loan {
	b.record(id, d)
	return &schema.Loan{
		Workspace: d.GetWorkspace(),
		Rate:      d.GetHeld(),
		Cap:       d.GetCap(),
		Former:    true,
		Refresh:   durationpb.New(tightRefresh),
		Pause:     durationpb.New(tightRefresh),
	}
}

// resizeRate returns the rate that the borrower may hold from now on.
func (b *book) resizeRate(e *entry, now time.Time) float64 {
	target := b.fairRate(e.demand, now)
	if target > e.rate {
		target = min(target, e.rate+b.pool.Rate)
		next := *e
		next.rate = target
		b.set(e, next)
	}
	return target
}

// fairRate returns the part of the rate due to a demand: with headroom if the
// rate suffices for all, else by max-min fairness.
func (b *book) fairRate(demand float64, now time.Time) float64 {
	lendable := lendableRate * b.limit.Rate
	if headroom*b.total.demand <= lendable {
		return headroom * demand
	}
	return tightShare * min(demand, b.level(lendable, now))
}

// level returns the largest rate given to any borrower if the sum of the
// demands, each cut at that level, is to equal the lendable rate.
func (b *book) level(lendable float64, now time.Time) float64 {
	pause := time.Duration(len(b.entries)) * pauseSpacing / levelShare
	if b.leveled.IsZero() || now.Sub(b.leveled) >= pause {
		b.shared, b.leveled = b.findLevel(lendable), now
	}
	return b.shared
}

func (b *book) findLevel(lendable float64) float64 {
	demands := make([]float64, 0, len(b.entries))
	for _, e := range b.entries {
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
	return lendable + b.total.demand
}

// resizeLimit returns the burst that the borrower may hold from now on, and
// the tokens that come with a larger one.
func (b *book) resizeLimit(e *entry, now time.Time) (limit, tokens float64) {
	demand := b.total.demand
	if demand <= 0 || e.demand <= 0 {
		return 0, 0
	}
	share := lendableBurst * b.limit.Burst * e.demand / demand
	least := min(minLimit, minLimitShare*b.limit.Burst)
	target := min(share, max(least, e.demand*limitSpan.Seconds()))
	if target <= e.limit {
		return target, 0
	}
	target = min(target, e.limit+b.pool.Cap)
	raise := target - e.limit
	if b.pool.Cap > 0 {
		tokens = b.pool.Tokens * raise / b.pool.Cap
	}
	b.pool.Tokens -= tokens
	next := *e
	next.limit = target
	b.set(e, next)
	b.settle(now)
	return target, tokens
}

// sendTokens takes tokens from the pool for requests that wait at the
// borrower. They count against the burst until the next report.
func (b *book) sendTokens(e *entry, wanted float64) float64 {
	sent := min(wanted, float64(int(b.pool.Tokens)))
	if sent <= 0 {
		return 0
	}
	b.pool.Tokens -= sent
	b.pool.Cap -= sent
	next := *e
	next.flight += sent
	b.set(e, next)
	return sent
}

// refresh returns the time until the borrower reports again. It grows with the
// number of borrowers, so that the cost for the holder does not.
func (b *book) refresh(e *entry) time.Duration {
	borrowers := time.Duration(len(b.entries))
	tight := headroom*b.total.demand > lendableRate*b.limit.Rate
	if e.flight > 0 || tight {
		return max(tightRefresh, borrowers*tightSpacing)
	}
	return max(calmRefresh, borrowers*calmSpacing)
}

// export returns the books in the form handed to the next holder.
func (s *shard) export(now time.Time) []*schema.Book {
	var books []*schema.Book
	for workspace, b := range s.books {
		b.settle(now)
		exported := &schema.Book{Workspace: workspace, Tokens: b.pool.Tokens}
		for id, e := range b.entries {
			exported.Entries = append(exported.Entries, &schema.Entry{
				Borrower:    id.name,
				Incarnation: id.incarnation,
				Number:      s.numbers[id],
				Demand:      e.demand,
				Rate:        e.rate,
				Cap:         e.limit,
				Flight:      e.flight,
			})
		}
		books = append(books, exported)
	}
	return books
}

// restore takes over books received from the holder before.
func (s *shard) restore(books []*schema.Book, now time.Time) {
	for _, received := range books {
		b := &book{entries: map[borrowerID]*entry{}}
		b.pool = limiter.Bucket{Tokens: received.GetTokens(), Updated: now}
		for _, e := range received.GetEntries() {
			id := borrowerID{e.GetBorrower(), e.GetIncarnation()}
			b.entries[id] = &entry{e.GetDemand(), e.GetRate(), e.GetCap(), e.GetFlight()}
			s.numbers[id] = max(s.numbers[id], e.GetNumber())
		}
		b.sum()
		s.books[received.GetWorkspace()] = b
	}
}
