package attacher

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"quetzalhub/gossiper"
	"quetzalhub/quarantiner"
	"quetzalhub/reporter"
	"quetzalhub/schema"
)

// maxSaves is the number of tries to save the record of a held request. Another node tries
// too, and all keep it in memory.
const maxSaves = 6

// archivist keeps the records of held requests on the platform. Each is written by the node
// that held the request first and by one other node, in case the first one fails.
type archivist struct {
	archive     Archive
	quarantiner *quarantiner.Quarantiner
	view        func() *gossiper.View
	self        string
	reporter    *reporter.Reporter
	// restored receives a value each time the platform has come back from a copy.
	restored chan struct{}
}

// run loads the records and then saves new ones until the context ends.
func (a *archivist) run(ctx context.Context) {
	a.load(ctx)
	// Records that were written just before are in the data by then.
	again := time.NewTimer(maxStaleness)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			if err := a.loadOnce(ctx); err != nil {
				again.Reset(maxStaleness)
			}
		case h := <-a.quarantiner.Holds():
			if s := a.quarantiner.Suspicion(h.Fingerprint); s != nil && (h.Local || a.isKeeper(s)) {
				a.reporter.Notice("request_held", "request_hash", recordName(s), "crashes", len(s.GetCrashes()), "alone", len(s.GetAlone()), "local", h.Local)
				a.save(ctx, s)
			}
		case <-a.restored:
			for _, s := range a.quarantiner.HeldSuspicions() {
				if a.isKeeper(s) {
					a.save(ctx, s)
				}
			}
		}
	}
}

// platformRestored saves the records again that the copy may lack.
func (a *archivist) platformRestored() {
	select {
	case a.restored <- struct{}{}:
	default:
	}
}

// recordName returns the name of a record in the archive.
func recordName(s *schema.Suspicion) string { return strconv.FormatUint(s.GetRequest(), 16) }

// isKeeper reports whether this node writes a record that another one has made.
func (a *archivist) isKeeper(s *schema.Suspicion) bool {
	return keeper(a.view(), recordName(s)) == a.self
}

// keeper returns the live node that writes a record, by the rendezvous hash of its name.
func keeper(view *gossiper.View, record string) string {
	keeper, highest := "", uint64(0)
	for name, m := range view.Members {
		if !gossiper.Live(m) {
			continue
		}
		if hash := xxhash.Sum64String(record + name); keeper == "" || hash > highest {
			keeper, highest = name, hash
		}
	}
	return keeper
}

// load reads the records, with retries, and removes those that are too old.
func (a *archivist) load(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil && a.loadOnce(ctx) != nil {
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (a *archivist) loadOnce(ctx context.Context) error {
	records, err := a.archive.Load(ctx)
	if err != nil {
		a.reporter.Notice("holds_not_loaded", "err", err)
		return err
	}
	a.apply(ctx, records)
	return nil
}

func (a *archivist) apply(ctx context.Context, records map[string][]byte) {
	for name, data := range records {
		s := &schema.Suspicion{}
		if err := proto.Unmarshal(data, s); err != nil || recordName(s) != name {
			a.reporter.Notice("hold_unreadable", "name", name, "bytes", len(data), "err", err)
			continue
		}
		a.quarantiner.Load([]*schema.Suspicion{s})
		if a.quarantiner.Suspicion(quarantiner.Fingerprint(s.GetRequest())) != nil || !a.isKeeper(s) {
			continue
		}
		if err := a.archive.Remove(ctx, name); err != nil {
			a.reporter.Notice("hold_not_removed", "name", name, "err", err)
		}
	}
	if len(records) > 0 {
		a.reporter.Notice("holds_loaded", "records", len(records), "held", len(a.quarantiner.HeldSuspicions()))
	}
}

func (a *archivist) save(ctx context.Context, s *schema.Suspicion) {
	backoff := minBackoff
	for try := 1; ctx.Err() == nil; try++ {
		s.Saved = time.Now().UnixMilli()
		data, err := proto.Marshal(s)
		if err == nil {
			err = a.archive.Save(ctx, recordName(s), data)
		}
		if err == nil {
			return
		}
		a.reporter.Notice("hold_not_saved", "request_hash", recordName(s), "try", try, "err", err)
		if try == maxSaves {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}
