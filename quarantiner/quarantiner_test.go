package quarantiner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/quarantiner"
	"quetzalhub/schema"
)

func request(caller string, number int) quarantiner.Request {
	return quarantiner.Request{Caller: caller, Method: "GET", Host: "hall.example", Target: fmt.Sprint("/look/", number)}
}

// upstreams simulates upstreams that crash whenever they begin to run a deadly request. Each
// run of a request is one of several at an upstream, and crashes are known to all at once.
type upstreams struct {
	q       *quarantiner.Quarantiner
	deadly  map[quarantiner.Fingerprint]bool
	crashes int
}

// send sends a request to an upstream where others run. It reports whether the request
// ended.
func (u *upstreams) send(r quarantiner.Request, others ...quarantiner.Request) bool {
	f := r.Fingerprint()
	treatment, _ := u.q.Treatment(f)
	if treatment == quarantiner.Held {
		return false
	}
	if !u.deadly[f] {
		u.q.RecordEnd(f)
		return true
	}
	u.crash(treatment == quarantiner.Isolated, append([]quarantiner.Request{r}, others...)...)
	return false
}

// crash crashes an upstream while requests run, the last begun first. isolated is true if
// that one is isolated.
func (u *upstreams) crash(isolated bool, requests ...quarantiner.Request) {
	u.crashes++
	var runs []quarantiner.Run
	for i, r := range requests {
		runs = append(runs, quarantiner.Run{Request: r, Began: time.Now().Add(-time.Duration(i) * time.Millisecond), Isolated: isolated && i == 0})
	}
	u.q.RecordCrash(fmt.Sprint("i-", u.crashes), 1, runs)
}

func (u *upstreams) treatment(r quarantiner.Request) quarantiner.Treatment {
	t, _ := u.q.Treatment(r.Fingerprint())
	return t
}

// many returns different requests of a caller.
func many(caller string, count int) []quarantiner.Request {
	list := make([]quarantiner.Request, count)
	for i := range list {
		list[i] = request(caller, i)
	}
	return list
}

// TestGuilt guards against requests that crash upstream after upstream and against others that
// are held for crashes that they have not caused.
func TestGuilt(t *testing.T) {
	guilty, second := request("gloves", 1000), request("hides", 1001)
	innocent := many("gloves", 40)
	cases := map[string]struct {
		play    func(u *upstreams)
		crashes int
		held    []quarantiner.Request
	}{
		"a request that crashes all": {func(u *upstreams) {
			for range 60 {
				u.send(guilty, innocent...)
				time.Sleep(time.Second)
			}
		}, 3, []quarantiner.Request{guilty}},
		"for half a day": {func(u *upstreams) {
			for range 12 * 60 {
				u.send(guilty, innocent...)
				time.Sleep(time.Minute)
			}
		}, 6, []quarantiner.Request{guilty}},
		"two at once": {func(u *upstreams) {
			for range 60 {
				u.send(guilty, append(innocent, second)...)
				u.send(second, append(innocent, guilty)...)
				time.Sleep(time.Second)
			}
		}, 6, []quarantiner.Request{guilty, second}},
		"crashes for other reasons": {func(u *upstreams) {
			for range 20 {
				u.crash(false, innocent...)
				for _, r := range innocent {
					u.send(r)
				}
				time.Sleep(time.Second)
			}
		}, 20, nil},
		"two crashes at once for other reasons": {func(u *upstreams) {
			u.crash(false, innocent...)
			u.crash(false, innocent...)
		}, 2, nil},
		"a crash for another reason while one runs isolated": {func(u *upstreams) {
			u.crash(false, innocent...)
			u.crash(true, innocent...)
			time.Sleep(6 * time.Second)
			for _, r := range innocent {
				u.send(r)
			}
		}, 2, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				u := &upstreams{q: quarantiner.New(), deadly: map[quarantiner.Fingerprint]bool{guilty.Fingerprint(): true, second.Fingerprint(): true}}
				c.play(u)
				g.Expect(u.crashes).To(BeNumerically("<=", c.crashes))
				var held []quarantiner.Request
				for _, r := range append([]quarantiner.Request{guilty, second}, innocent...) {
					if u.treatment(r) == quarantiner.Held {
						held = append(held, r)
					}
				}
				g.Expect(held).To(Equal(c.held))
			})
		})
	}
}

// TestMemoryIsBounded guards against a caller that fills the memory with its requests, or
// drives out what is known of those of others.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		u := &upstreams{q: quarantiner.New(), deadly: map[quarantiner.Fingerprint]bool{}}
		guilty := request("hides", 1)
		u.deadly[guilty.Fingerprint()] = true
		for range 3 {
			u.send(guilty)
			time.Sleep(6 * time.Second)
		}
		for _, r := range many("gloves", 10000) {
			u.deadly[r.Fingerprint()] = true
			u.send(r)
			u.send(r)
		}
		g.Expect(u.treatment(guilty)).To(Equal(quarantiner.Held))
		known := 0
		for _, r := range many("gloves", 10000) {
			if u.treatment(r) != quarantiner.Normal {
				known++
			}
		}
		g.Expect(known).To(BeNumerically("<=", 64))
		g.Expect(len(u.q.Suspicions())).To(BeNumerically("<=", 48))
		for i := range 100 {
			for _, r := range many(fmt.Sprint("workspace-", i), 100) {
				u.crash(false, r)
			}
		}
		g.Expect(u.treatment(guilty)).To(Equal(quarantiner.Held))
	})
}

// TestExchange guards against crashes that count twice because several nodes report them,
// against records that nodes prolong for each other, and against records that are lost
// with the node that made them.
func TestExchange(t *testing.T) {
	guilty, innocent := request("gloves", 1), request("gloves", 2)
	cases := map[string]struct {
		play func(from, to *quarantiner.Quarantiner)
		want quarantiner.Treatment
	}{
		"a held request": {func(from, to *quarantiner.Quarantiner) { to.Store(from.Suspicions()) }, quarantiner.Held},
		"the same crashes again": {func(from, to *quarantiner.Quarantiner) {
			for range 20 {
				to.Store(from.Suspicions())
				from.Store(to.Suspicions())
				time.Sleep(300 * time.Millisecond)
			}
		}, quarantiner.Isolated},
		"it ended here since": {func(from, to *quarantiner.Quarantiner) {
			to.Store(from.Suspicions())
			time.Sleep(time.Second)
			to.RecordEnd(guilty.Fingerprint())
			to.Store(from.Suspicions())
		}, quarantiner.Normal},
		"kept on the platform for an hour": {func(from, to *quarantiner.Quarantiner) {
			saved := from.HeldSuspicions()
			saved[0].Saved = time.Now().UnixMilli()
			time.Sleep(time.Hour)
			to.Load(saved)
		}, quarantiner.Isolated},
		"kept on the platform for a second": {func(from, to *quarantiner.Quarantiner) {
			saved := from.HeldSuspicions()
			saved[0].Saved = time.Now().UnixMilli()
			time.Sleep(time.Second)
			to.Load(saved)
		}, quarantiner.Held},
		"malformed": {func(_, to *quarantiner.Quarantiner) {
			to.Store([]*schema.Suspicion{{}, {Request: 7}, {Request: uint64(guilty.Fingerprint()), Crashes: make([]uint64, 10000)}})
		}, quarantiner.Normal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				from, to := quarantiner.New(), quarantiner.New()
				u := &upstreams{q: from, deadly: map[quarantiner.Fingerprint]bool{guilty.Fingerprint(): true}}
				u.send(guilty, innocent)
				u.send(guilty, innocent)
				c.play(from, to)
				treatment, _ := to.Treatment(guilty.Fingerprint())
				g.Expect(treatment).To(Equal(c.want))
				treatment, _ = to.Treatment(innocent.Fingerprint())
				g.Expect(treatment).NotTo(Equal(quarantiner.Held))
			})
		})
	}
}

// TestFingerprint guards against different requests that are taken for identical ones.
func TestFingerprint(t *testing.T) {
	g := NewWithT(t)
	base := quarantiner.Request{Caller: "gloves", Method: "POST", Host: "hall.example", Target: "/look/1?a=b", Body: []byte("x")}
	seen := map[quarantiner.Fingerprint]bool{base.Fingerprint(): true}
	for _, change := range []func(r *quarantiner.Request){
		func(r *quarantiner.Request) { r.Caller = "hides" },
		func(r *quarantiner.Request) { r.Method = "PUT" },
		func(r *quarantiner.Request) { r.Host = "other.example" },
		func(r *quarantiner.Request) { r.Target = "/look/1?a=c" },
		func(r *quarantiner.Request) { r.Body = []byte("y") },
		func(r *quarantiner.Request) { r.Caller, r.Method = "glove", "sPOST" },
	} {
		r := base
		change(&r)
		g.Expect(seen).NotTo(HaveKey(r.Fingerprint()))
		seen[r.Fingerprint()] = true
	}
	g.Expect(seen).To(HaveKey(base.Fingerprint()))
}
