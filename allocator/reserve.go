package allocator

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// reserveShare is the share of a divided rate and burst that is kept in the reserves.
	reserveShare = 0.4
	// holdersPerWorkspace is the number of nodes among which the reserve of a workspace
	// is divided. While one does not answer, the others still grant their parts.
	holdersPerWorkspace = 2
	// holderShards is the number of sets of holders. It bounds the nodes to which every
	// other one has connections.
	holderShards = 16
	// borrowTimeout is the timeout of a call to a holder, for which a request
	// waits.
	borrowTimeout = 50 * time.Millisecond
	// unreachableInterval is the time for which a holder that did not answer is not
	// asked again.
	unreachableInterval = 300 * time.Millisecond
	// emptyBudgetInterval is the time for which no tokens are drawn from a retry budget
	// that was spent.
	emptyBudgetInterval = 100 * time.Millisecond
	// emptyReserveInterval is the time for which no tokens are borrowed from reserves
	// that were empty.
	emptyReserveInterval = 30 * time.Millisecond
	// borrowAhead is the time of arrivals for which a node borrows tokens of a divided
	// rate in one call.
	borrowAhead = 100 * time.Millisecond
	// maxGrantShare is the maximum share of a reserve granted to one request.
	maxGrantShare = 0.25
)

// reserve is the token bucket that a holder keeps for one workspace or service.
type reserve struct {
	tokens     float64
	refilledAt time.Time
}

// Bucket is a token bucket that the whole fleet shares.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	Size float64
	// Initial is the number of tokens with which the bucket starts. Its holders may have
	// changed, so they come in addition to those taken before.
	Initial float64
}

// claim is what a node asks the holders for.
type claim struct {
	// workspace or service is set. A service stands for its shared retry budget.
	workspace, service string
	bucket             Bucket
	// divided is true if only reserveShare of the bucket is in the reserve.
	divided bool
}

// key identifies the reserve of a claim.
func (c *claim) key() string {
	if c.service != "" {
		return "service/" + c.service
	}
	return "workspace/" + c.workspace
}

// workspaceClaim returns the claim for tokens of a workspace.
func (d *Allocator) workspaceClaim(workspace string, limit resolver.Limit) *claim {
	rate, size := d.fleetBucket(limit)
	return &claim{
		workspace: workspace,
		bucket:    Bucket{Rate: rate, Size: size, Initial: restartShare * d.excess(limit)},
		divided:   !isPooled(size, float64(d.fleet.View().Known)),
	}
}

// Draw takes tokens of the retry budget of a service that all nodes share, and reports
// whether there were enough.
func (d *Allocator) Draw(ctx context.Context, service string, tokens float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.drawnUntil[service]) {
		return false
	}
	if d.borrowFromHolders(ctx, &claim{service: service, bucket: d.retries}, tokens) >= tokens {
		return true
	}
	d.drawnUntil[service] = time.Now().Add(emptyBudgetInterval)
	return false
}

// holderCache holds the names of the holders of each shard in a view of the fleet.
type holderCache struct {
	view   *gossiper.View
	shards [holderShards][]string
}

// holdersOf returns the holders of a reserve: the live nodes with the highest hashes of
// their names and the shard of its key (rendezvous hashing).
func (c *holderCache) holdersOf(v *gossiper.View, key string) []string {
	if c.view != v {
		*c = holderCache{view: v}
	}
	shard := xxhash.Sum64String(key) % holderShards
	if c.shards[shard] == nil {
		c.shards[shard] = highestRanked(v, "/"+strconv.FormatUint(shard, 10))
	}
	return c.shards[shard]
}

// highestRanked returns the holders of a shard.
func highestRanked(v *gossiper.View, shard string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	list := make([]ranked, 0, len(v.Members))
	for name, m := range v.Members {
		if gossiper.Live(m) {
			list = append(list, ranked{name, xxhash.Sum64String(name + shard)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	names := []string{}
	for _, r := range list[:min(len(list), holdersPerWorkspace)] {
		names = append(names, r.name)
	}
	return names
}

// borrowTokens borrows tokens from the holders of the reserve, or waits for a call
// that is already under way. The caller holds the lock, which is released during
// the wait.
func (d *Allocator) borrowTokens(ctx context.Context, workspace string, a *account) {
	for a.borrowDone != nil {
		borrowDone := a.borrowDone
		a.waiting++
		d.mu.Unlock()
		select {
		case <-borrowDone:
		case <-ctx.Done():
		}
		d.mu.Lock()
		a.waiting--
		if a.tokens >= 1 || ctx.Err() != nil || time.Now().Before(a.reserveEmptyUntil) {
			return
		}
	}
	requested := 1 + a.arrivals*borrowAhead.Seconds()
	if a.pooled {
		requested = float64(1 + a.waiting)
	}
	a.borrowDone = make(chan struct{})
	tokens := d.borrowFromHolders(ctx, d.workspaceClaim(workspace, a.limit), requested)
	close(a.borrowDone)
	a.borrowDone = nil
	a.addBorrowed(tokens)
}

// borrowFromHolders asks the holders in turn until one grants a token. Half of the nodes
// begin with each, so that both parts of the reserve are used. The caller holds the lock,
// which is released during the calls.
func (d *Allocator) borrowFromHolders(ctx context.Context, c *claim, requested float64) float64 {
	holders := d.holders.holdersOf(d.fleet.View(), c.key())
	self, _ := d.fleet.Identity()
	first := int(xxhash.Sum64String(self) % holdersPerWorkspace)
	for i := range holders {
		holder := holders[(first+i)%len(holders)]
		if holder == self {
			if tokens := d.grant(c, requested, time.Now()); tokens >= 1 {
				return tokens
			}
			continue
		}
		if time.Now().Before(d.unreachableUntil[holder]) {
			continue
		}
		d.mu.Unlock()
		tokens, err := d.callHolder(ctx, holder, c, requested)
		d.mu.Lock()
		if err != nil && ctx.Err() == nil {
			d.unreachableUntil[holder] = time.Now().Add(unreachableInterval)
		}
		if tokens >= 1 {
			return tokens
		}
	}
	return 0
}

// addBorrowed adds borrowed tokens and records if the reserves were empty.
func (a *account) addBorrowed(tokens float64) {
	now := time.Now()
	if a.pooled {
		a.addTokens(tokens, now)
	} else {
		a.tokens += tokens
	}
	if tokens < 1 {
		a.reserveEmptyUntil = now.Add(emptyReserveInterval)
	}
}

// callHolder requests tokens from a holder and returns the number granted. Tokens of a lost
// answer are not used by any node, so the workspace is admitted less than its rate, not
// more.
func (d *Allocator) callHolder(ctx context.Context, holder string, c *claim, requested float64) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	name, incarnation := d.fleet.Identity()
	resp, err := d.lender.Borrow(ctx, holder, &schema.BorrowRequest{
		Borrower: name, Incarnation: incarnation, Demands: []*schema.Demand{{Workspace: c.workspace, Service: c.service, Tokens: requested}},
	})
	if err != nil {
		return 0, err
	}
	tokens := 0.0
	for _, l := range resp.GetLoans() {
		tokens += l.GetTokens()
	}
	return tokens, nil
}

// Borrow grants tokens from the reserves held by this node.
func (d *Allocator) Borrow(req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resp := &schema.BorrowResponse{}
	snapshot := d.state.Snapshot()
	if snapshot == nil {
		return resp, nil
	}
	for _, demand := range req.GetDemands() {
		c := &claim{service: demand.GetService(), bucket: d.retries}
		if c.service == "" {
			limit, ok := snapshot.Limit(demand.GetWorkspace())
			if !ok || !limit.HasRate() {
				continue
			}
			c = d.workspaceClaim(demand.GetWorkspace(), limit)
		}
		tokens := d.grant(c, demand.GetTokens(), time.Now())
		resp.Loans = append(resp.Loans, &schema.Loan{Workspace: demand.GetWorkspace(), Tokens: tokens})
	}
	return resp, nil
}

// Adopt does nothing: a reserve is not handed over, because the next holder
// creates its own.
func (d *Allocator) Adopt(*schema.AdoptRequest) {}

// grant takes up to the requested number of tokens from this node's part of a reserve, or
// all or none of those for retries. The part is empty if this node is not a holder in its
// own view. The caller holds the lock.
func (d *Allocator) grant(c *claim, requested float64, now time.Time) float64 {
	view, key := d.fleet.View(), c.key()
	holders := d.holders.holdersOf(view, key)
	if name, _ := d.fleet.Identity(); !slices.Contains(holders, name) {
		return 0
	}
	part := view.Reach() / float64(len(holders))
	initial := part * c.bucket.Initial
	if c.divided {
		part *= reserveShare
	} else {
		// Nodes that start together may each be a holder in its own view for a moment.
		initial = min(initial, part*c.bucket.Rate*now.Sub(d.started).Seconds())
	}
	r := d.reserves[key]
	if r == nil {
		r = &reserve{tokens: initial, refilledAt: now}
		d.reserves[key] = r
	}
	r.tokens = min(part*c.bucket.Size, r.tokens+part*c.bucket.Rate*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens < 1 || c.service != "" && r.tokens < requested {
		return 0
	}
	tokens := requested
	if c.service == "" {
		tokens = min(requested, max(1, maxGrantShare*r.tokens))
	}
	r.tokens -= tokens
	return tokens
}
