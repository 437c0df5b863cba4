package main

import (
	"cmp"
	"slices"
	"time"
)

const (
	// configApply is the bound of the small sites.
	configApply = 2 * time.Second
	// staleness is the age of data that the store returns to calls with staleOk.
	staleness = 3 * time.Second
	// cutTime is the time for which machines are cut off from the store, and cutCount their
	// number: 2 of 6 are within the share of 0.35.
	cutTime  = 8 * time.Second
	cutCount = 2
)

// stale cuts a third of the machines off from the store, and then takes a key away. Rule
// CONFIG: machines in touch don't let requests run whose key was dropped, later than
// configApply after the acknowledgement.
func stale(l *lab) (*verdict, error) {
	l.zones = 1
	l.store.staleness = staleness
	l.store.put("config", "main", config(7, `,"key-taken"`, ""))
	taken := order
	taken.key = "key-taken"
	if err := l.begin([]string{"cortes", "cortes", "cortes", "medidas", "medidas", "medidas"}, lookUp, order, taken); err != nil {
		return nil, err
	}
	clients := l.newLoad()
	for _, m := range l.machines {
		clients.add(m, lookUp, 100*time.Millisecond, time.Time{})
		clients.add(m, order, 100*time.Millisecond, time.Time{})
		clients.add(m, taken, 100*time.Millisecond, time.Time{})
	}
	// Which machines watch the latest data shows within seconds.
	time.Sleep(20 * time.Second)
	cut := map[string]bool{}
	if l.trouble {
		byWatch := slices.Clone(l.machines)
		slices.SortFunc(byWatch, func(a, b *machine) int { return cmp.Compare(b.watchedAt.Load(), a.watchedAt.Load()) })
		for _, m := range byWatch[:cutCount] {
			cut[m.name] = true
			m.cut.Store(true)
			l.note("%s is cut off from the store; its last watch of the latest data began %.1f s ago", m.name, time.Since(time.Unix(0, m.watchedAt.Load())).Seconds())
		}
	}
	time.Sleep(time.Second)
	l.store.put("config", "main", config(9, "", ""))
	acknowledged := time.Now()
	l.note("the store acknowledged r9, which takes key-taken away")
	time.Sleep(cutTime - time.Second)
	for _, m := range l.machines {
		m.cut.Store(false)
	}
	l.note("all machines reach the store")
	time.Sleep(3 * time.Second)
	clients.end()
	v := &verdict{}
	runs, outcomes := l.results()
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.id] = true
	}
	late, latest := 0, time.Duration(0)
	for _, o := range outcomes {
		after := o.at.Sub(acknowledged)
		if o.request.key != taken.key || after <= configApply || cut[o.machine] || !ran[o.id] {
			continue
		}
		late++
		latest = max(latest, after)
		if late <= 3 {
			v.say("CONFIG: %s with the key taken away was sent to %s, which reached the store all the time, %.2f s after the acknowledgement, ran, and got %d",
				o.id, o.machine, after.Seconds(), o.status)
		}
	}
	v.broken = late > 0
	v.say("%d requests; %d with the dropped key were sent to machines in touch later than %v after the acknowledgement and ran, the last one %.2f s after it",
		len(outcomes), late, configApply, latest.Seconds())
	return v, nil
}
