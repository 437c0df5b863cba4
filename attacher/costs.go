package attacher

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/confirmer"
	"quetzalhub/estimator"
	"quetzalhub/gossiper"
	"quetzalhub/reporter"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	// costsRecord is the name by which the node that writes the costs is found.
	costsRecord = "costs"
	// settleTime is the time for which costs must not change before they are written.
	settleTime = 5 * time.Second
	// minSaveInterval is the shortest time between two writes of the costs.
	minSaveInterval = 30 * time.Second
	// maxCostReads is the number of tries to read the costs at the start. Without them the
	// node measures them.
	maxCostReads = 5
	// timeChange and countChange are the relative differences above which slot times and
	// numbers of calls are written again.
	timeChange  = 0.5
	countChange = 0.25
)

// costKeeper reads the recorded costs of requests when the node starts, and one node of the
// fleet writes them when they have changed. It does nothing unless the configuration has
// services whose upstreams may be cold.
type costKeeper struct {
	archive   CostArchive
	estimator *estimator.Estimator
	confirmer *confirmer.Confirmer
	view      func() *gossiper.View
	self      string
	reporter  *reporter.Reporter
	changed   chan struct{}

	// recorded is the last record that was read or written, and settling what was measured
	// at the last check.
	recorded, settling []*schema.Profile
	savedAt            time.Time
}

func newCostKeeper(a CostArchive, e *estimator.Estimator, c *confirmer.Confirmer, view func() *gossiper.View, self string, r *reporter.Reporter) *costKeeper {
	k := &costKeeper{archive: a, estimator: e, confirmer: c, view: view, self: self, reporter: r, changed: make(chan struct{}, 1)}
	c.OnChange(k.onConfigChange)
	return k
}

func (k *costKeeper) onConfigChange(confirmer.Change) {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// run reads the costs once the configuration calls for it, and then writes them when they
// have changed, until the context ends.
func (k *costKeeper) run(ctx context.Context) {
	for !k.isNeeded() {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		}
	}
	k.load(ctx)
	ticker := time.NewTicker(settleTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.check(ctx)
		}
	}
}

// isNeeded reports whether upstreams of a service may be cold.
func (k *costKeeper) isNeeded() bool {
	for _, s := range k.config().GetServices() {
		if s.GetIntake() > 0 {
			return true
		}
	}
	return false
}

func (k *costKeeper) config() *schema.Config {
	if snapshot := k.confirmer.Snapshot(); snapshot != nil {
		return snapshot.State.GetConfig()
	}
	return nil
}

// configuredIntake returns a function that reads from the configuration how many requests
// per second a cold upstream of a service bears.
func configuredIntake(c *confirmer.Confirmer) func(service string) float64 {
	return func(service string) float64 {
		if snapshot := c.Snapshot(); snapshot != nil {
			for _, s := range snapshot.State.GetConfig().GetServices() {
				if s.GetName() == service {
					return s.GetIntake()
				}
			}
		}
		return 0
	}
}

// load reads the record, with retries.
func (k *costKeeper) load(ctx context.Context) {
	backoff := minBackoff
	for try := 1; ctx.Err() == nil; try++ {
		data, err := k.archive.LoadCosts(ctx)
		if err == nil {
			k.apply(data)
			return
		}
		k.reporter.Notice("costs_not_loaded", "try", try, "err", err)
		if try == maxCostReads {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// apply passes the profiles of a record to the estimator.
func (k *costKeeper) apply(data []byte) {
	costs := &schema.Costs{}
	if err := proto.Unmarshal(data, costs); err != nil {
		k.reporter.Notice("costs_unreadable", "bytes", len(data), "err", err)
		return
	}
	if len(costs.GetProfiles()) == 0 {
		return
	}
	k.recorded = costs.GetProfiles()
	k.estimator.Load(k.recorded)
	k.reporter.Notice("costs_loaded", "profiles", len(k.recorded), "age", time.Since(time.UnixMilli(costs.GetSaved())))
}

// check writes the measured costs if this node keeps the record, and they differ from it and
// have settled. Those measured while upstreams are cold are not typical.
func (k *costKeeper) check(ctx context.Context) {
	view := k.view()
	if !k.isNeeded() || keeper(view, costsRecord) != k.self || view.Reach() < minReach || hasCold(view) || time.Since(k.savedAt) < minSaveInterval {
		k.settling = nil
		return
	}
	measured := k.merge(view)
	settled := k.settling != nil && !differs(measured, k.settling)
	k.settling = measured
	if settled && differs(measured, k.recorded) {
		k.save(ctx, measured)
	}
}

func hasCold(view *gossiper.View) bool {
	for _, m := range view.Members {
		for _, e := range m.GetEndpoints() {
			if e.GetIntake() > 0 && gossiper.Live(m) {
				return true
			}
		}
	}
	return false
}

// merge returns the measured profiles of the configured routes, and those of the record
// whose route or service has not been in use since.
func (k *costKeeper) merge(view *gossiper.View) []*schema.Profile {
	configured, measured := set.Of[string](), set.Of[string]()
	for _, r := range k.config().GetRoutes() {
		configured.Add(r.GetName())
	}
	var list []*schema.Profile
	for _, p := range k.estimator.Measured() {
		if configured.Has(p.GetRoute()) {
			list = append(list, p)
			measured.Add(p.GetRoute())
		}
	}
	known := profilesByKey(list)
	for _, p := range k.recorded {
		unused := !measured.Has(p.GetRoute()) || len(view.Service(p.GetService())) == 0
		if configured.Has(p.GetRoute()) && unused && known[keyOf(p)] == nil {
			list = append(list, p)
		}
	}
	return list
}

func (k *costKeeper) save(ctx context.Context, profiles []*schema.Profile) {
	// A failed write is not repeated sooner than a successful one.
	k.savedAt = time.Now()
	data, err := proto.Marshal(&schema.Costs{Profiles: profiles, Saved: k.savedAt.UnixMilli()})
	if err == nil {
		err = k.archive.SaveCosts(ctx, data)
	}
	if err != nil {
		k.reporter.Notice("costs_not_saved", "err", err)
		return
	}
	k.recorded = profiles
	k.reporter.Notice("costs_saved", "profiles", len(profiles), "bytes", len(data))
}

// profileKey identifies a profile of a record.
type profileKey struct{ route, service string }

func keyOf(p *schema.Profile) profileKey { return profileKey{p.GetRoute(), p.GetService()} }

func profilesByKey(profiles []*schema.Profile) map[profileKey]*schema.Profile {
	byKey := make(map[profileKey]*schema.Profile, len(profiles))
	for _, p := range profiles {
		byKey[keyOf(p)] = p
	}
	return byKey
}

// differs reports whether a profile is missing among the earlier ones, or is clearly
// different from it.
func differs(profiles, earlier []*schema.Profile) bool {
	known := profilesByKey(earlier)
	for _, p := range profiles {
		before := known[keyOf(p)]
		if before == nil || differBy(p.GetBusy().AsDuration().Seconds(), before.GetBusy().AsDuration().Seconds(), timeChange) {
			return true
		}
		counts := map[string]float64{}
		for _, c := range before.GetCalls() {
			counts[c.GetRoute()] = float64(c.GetCount())
		}
		for _, c := range p.GetCalls() {
			if differBy(float64(c.GetCount()), counts[c.GetRoute()], countChange) {
				return true
			}
			delete(counts, c.GetRoute())
		}
		if len(counts) > 0 {
			return true
		}
	}
	return false
}

// differBy reports whether two values differ by more than a part of the larger one.
func differBy(a, b, part float64) bool { return math.Abs(a-b) > part*max(a, b) }
