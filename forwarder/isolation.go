package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"quetzalhub/balancer"
	"quetzalhub/quarantiner"
	"quetzalhub/refuser"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	// crashDialTimeout bounds the connection by which a crash is told from the loss of
	// one connection. Its address is on this host.
	crashDialTimeout = 100 * time.Millisecond
	// crashReadTimeout is the time for which that connection must stay open, and
	// maxCrashDials the number of such connections.
	crashReadTimeout = 10 * time.Millisecond
	maxCrashDials    = 3
	// crashCheckInterval is the time for which the result of such a check holds.
	crashCheckInterval = 200 * time.Millisecond
	// defaultIsolationWait is the longest wait of an isolated request for its turn if
	// its latency objective is not known.
	defaultIsolationWait = 500 * time.Millisecond
	// newsDelay is the time after a crash by which other nodes have heard of it.
	newsDelay = 50 * time.Millisecond
	// maxHeldWait is the longest hold after which callers are told to come back.
	maxHeldWait = 10 * time.Second
)

// Quarantine remembers the requests that ran in upstreams when they crashed.
type Quarantine interface {
	// Empty reports whether nothing is known against any request.
	Empty() bool
	Treatment(f quarantiner.Fingerprint) (quarantiner.Treatment, time.Duration)
	TreatmentAtLast(f quarantiner.Fingerprint) (quarantiner.Treatment, time.Duration)
	CrashedHosts(f quarantiner.Fingerprint) (under, lately quarantiner.Hosts)
	Crashes(f quarantiner.Fingerprint) int
	RecordHostCrash(host, id string, born int64, runs []quarantiner.Run)
	RecordEnd(f quarantiner.Fingerprint)
	Suspicion(f quarantiner.Fingerprint) *schema.Suspicion
	Store(suspicions []*schema.Suspicion)
}

// newQuarantineRequest returns the properties by which the quarantine identifies a request.
// The caller of a nested call is the service that makes it, since the request for which it
// is made is not known for certain.
func newQuarantineRequest(nested bool, workspace, origin, method, host string, from *url.URL, body []byte) quarantiner.Request {
	caller := "workspace " + workspace
	if nested {
		caller = "service " + origin
	}
	return quarantiner.Request{Caller: caller, Method: method, Host: host, Target: from.RequestURI(), Body: body}
}

// heldError returns the refusal of a held request.
func heldError(q Quarantine, f quarantiner.Fingerprint, left time.Duration) error {
	note := fmt.Sprintf("Upstreams crashed %d times while they ran this request; it is not run for another %v.", q.Crashes(f), left.Round(time.Millisecond))
	if left > maxHeldWait {
		return &refuser.Error{Code: refuser.RequestQuarantined, Detail: refuser.Detail{Note: note}}
	}
	return &refuser.Error{Code: refuser.RequestHeld, Detail: refuser.Detail{Note: note, RetryAfter: left}}
}

// pick selects the node for the next attempt of a call. It returns a refusal if the call is held or no node is left.
func (d *Dispatcher) pick(call *Call, tried set.Set[string]) (*balancer.Target, error) {
	need := d.need(call)
	if d.quarantine.Empty() {
		target, ok := d.picker.PickInTime(call.Service, need, tried)
		if !ok {
			return nil, missingError(need)
		}
		return target, nil
	}
	f := call.fingerprint()
	if len(tried) > 0 {
		d.awaitNews(call, f)
	}
	treatment, left := d.quarantine.Treatment(f)
	if treatment == quarantiner.Held {
		return nil, heldError(d.quarantine, f, left)
	}
	if treatment == quarantiner.Isolated {
		return d.pickIsolated(call, need, f, tried)
	}
	target, ok := d.picker.PickInTime(call.Service, need, tried)
	if !ok {
		return nil, missingError(need)
	}
	return target, nil
}

// pickIsolated selects the same node for identical isolated calls: one whose upstream has not
// crashed lately, or else one whose upstream has not crashed under them.
func (d *Dispatcher) pickIsolated(call *Call, need balancer.Need, f quarantiner.Fingerprint, tried set.Set[string]) (*balancer.Target, error) {
	under, lately := d.quarantine.CrashedHosts(f)
	for _, hosts := range []quarantiner.Hosts{lately, under} {
		need.Skip = hosts.Has
		if target, ok := d.picker.PickHashed(call.Service, need, uint64(f), tried); ok {
			return target, nil
		}
	}
	need.Skip = nil
	// All nested calls of a service may be identical, so crashes of one host hold none.
	if !call.Nested {
		if treatment, left := d.quarantine.TreatmentAtLast(f); treatment == quarantiner.Held {
			return nil, heldError(d.quarantine, f, left)
		}
	}
	target, ok := d.picker.PickHashed(call.Service, need, uint64(f), tried)
	if !ok {
		return nil, missingError(need)
	}
	return target, nil
}

// awaitNews waits before a retry of a call under which an upstream has just crashed: copies
// that other nodes sent at the same time may have crashed others.
func (d *Dispatcher) awaitNews(call *Call, f quarantiner.Fingerprint) {
	if s := d.quarantine.Suspicion(f); len(s.GetCrashes()) > 0 {
		time.Sleep(min(newsDelay-s.GetAge().AsDuration(), timeLeft(call.Parent.Deadline)))
	}
}

// need returns what a call needs of a node at present.
func (d *Dispatcher) need(call *Call) balancer.Need {
	need := call.need(d.slotTime(call.Route.Name, call.Service))
	need.Regions = d.regions(call)
	return need
}

// fingerprint returns the fingerprint of a call.
func (c *Call) fingerprint() quarantiner.Fingerprint {
	return newQuarantineRequest(c.Nested, c.Parent.Workspace, c.Origin, c.Method, c.Host, c.URL, c.Body.identity()).Fingerprint()
}

// recordReport records what the node beside the upstream reports of a call.
func (d *Dispatcher) recordReport(call *Call, report *schema.Report) {
	if s := report.GetSuspicion(); s != nil {
		d.quarantine.Store([]*schema.Suspicion{s})
	}
	if report.GetCleared() {
		d.quarantine.RecordEnd(call.fingerprint())
	}
}

// isolator runs isolated requests one at a time, and finds out when the upstream crashes
// and which requests ran there.
type isolator struct {
	quarantine Quarantine
	identity   Identity
	onCrash    func()
	reporter   Reporter
	// turn holds a value while an isolated request runs.
	turn chan struct{}

	mu   sync.Mutex
	runs map[*relayCall]quarantiner.Run
	// check is the last check of whether the upstream has crashed.
	check *crashCheck
}

// crashCheck is a check of whether an instance of the upstream has crashed.
type crashCheck struct {
	upstream Upstream
	at       time.Time
	done     chan struct{}
	crashed  bool
}

func newIsolator(q Quarantine, id Identity, onCrash func(), r Reporter) *isolator {
	return &isolator{quarantine: q, identity: id, onCrash: onCrash, reporter: r, turn: make(chan struct{}, 1), runs: map[*relayCall]quarantiner.Run{}}
}

// enter waits for the turn of a call if it is isolated. It returns a refusal if the call is
// held, or if its turn does not come in time. leave must be called if it returns none.
func (i *isolator) enter(ctx context.Context, rc *relayCall, from *http.Request) error {
	if s := rc.envelope.GetSuspicion(); s != nil {
		i.quarantine.Store([]*schema.Suspicion{s})
	}
	if i.quarantine.Empty() {
		return nil
	}
	f := rc.quarantineRequest(from).Fingerprint()
	treatment, left := i.quarantine.Treatment(f)
	if treatment == quarantiner.Isolated {
		wait := defaultIsolationWait
		if objective := rc.envelope.GetObjective().AsDuration(); objective > 0 {
			wait = objective / 2
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case i.turn <- struct{}{}:
		case <-timer.C:
			return &refuser.Error{Code: refuser.ShedAtGuard}
		case <-ctx.Done():
			return &refuser.Error{Code: refuser.DeadlineBeforeRun}
		}
		// The request before this one may have been identical, and have crashed the
		// upstream or cleared the suspicion.
		treatment, left = i.quarantine.Treatment(f)
		if rc.isolated = treatment == quarantiner.Isolated; !rc.isolated {
			<-i.turn
		}
	}
	if treatment == quarantiner.Held {
		// The sender has not heard of the hold yet, and must not try another node.
		rc.suspicion = i.quarantine.Suspicion(f)
		return heldError(i.quarantine, f, left)
	}
	return nil
}

// leave ends the turn of a call.
func (i *isolator) leave(rc *relayCall) {
	if rc.isolated {
		<-i.turn
	}
}

// begin records that the upstream is about to run a call, and end that it no longer does.
func (i *isolator) begin(rc *relayCall, from *http.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs[rc] = quarantiner.Run{Request: rc.quarantineRequest(from), Began: time.Now(), Isolated: rc.isolated}
}

func (i *isolator) end(rc *relayCall) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.runs, rc)
}

// clear drops the suspicion against a call that the upstream has answered, isolated or not:
// it may have begun before the crash of another upstream.
func (i *isolator) clear(rc *relayCall, from *http.Request) {
	if i.quarantine.Empty() {
		return
	}
	f := rc.quarantineRequest(from).Fingerprint()
	if rc.isolated || i.quarantine.Crashes(f) > 0 {
		rc.cleared = true
		i.quarantine.RecordEnd(f)
	}
}

// crashed reports whether an upstream has crashed, after the connection of a call to it was
// lost: then it accepts no new connection. It records the crash once.
func (i *isolator) crashed(upstream Upstream) bool {
	i.mu.Lock()
	c := i.check
	if c == nil || c.upstream.ID != upstream.ID || c.upstream.Born != upstream.Born || time.Since(c.at) > crashCheckInterval && !c.crashed {
		c = &crashCheck{upstream: upstream, at: time.Now(), done: make(chan struct{})}
		i.check = c
		var runs []quarantiner.Run
		for _, run := range i.runs {
			runs = append(runs, run)
		}
		i.mu.Unlock()
		i.runCheck(c, runs)
		return c.crashed
	}
	i.mu.Unlock()
	<-c.done
	return c.crashed
}

func (i *isolator) runCheck(c *crashCheck, runs []quarantiner.Run) {
	defer close(c.done)
	if c.crashed = !listens(c.upstream.Address); !c.crashed {
		return
	}
	host, _ := i.identity.Identity()
	i.quarantine.RecordHostCrash(host, c.upstream.ID, c.upstream.Born, runs)
	// Other nodes may already know that the upstream is lost, but not why.
	i.onCrash()
	isolated := "none"
	for _, run := range runs {
		if run.Isolated {
			f := run.Request.Fingerprint()
			isolated = fmt.Sprintf("%s %s, %d crashes", run.Request.Method, run.Request.Target, i.quarantine.Crashes(f))
		}
	}
	i.reporter.Event("upstream_crashed", "upstream", c.upstream.ID, "runs", len(runs), "isolated", isolated)
}

// listens reports whether an upstream accepts connections and keeps them open. The
// connections of a process that ends may be closed before its listener.
func listens(address string) bool {
	for range maxCrashDials {
		conn, err := net.DialTimeout("tcp", address, crashDialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		if err != nil {
			continue
		}
		err = conn.SetReadDeadline(time.Now().Add(crashReadTimeout))
		if err == nil {
			_, err = conn.Read(make([]byte, 1))
		}
		_ = conn.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
	return true
}

// quarantineRequest returns the properties by which the quarantine identifies the call.
func (rc *relayCall) quarantineRequest(from *http.Request) quarantiner.Request {
	e := rc.envelope
	return newQuarantineRequest(e.GetDepth() > 1, e.GetWorkspace(), e.GetOrigin(), from.Header.Get(headerMethod), e.GetHost(), from.URL, rc.body.identity())
}
