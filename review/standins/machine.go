package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// machine is a machine with a node. An endpoint runs beside it.
type machine struct {
	lab                                        *lab
	name, ip, zone, service                    string
	outbound, inbound, control, readiness, app string
	beaconPort                                 int
	settings                                   string
	// store is the address at which this machine reaches the store.
	store       string
	storeServer *http.Server
	// cut is true while the machine is partitioned from the store, and watchedAt the time
	// of its last watch of the latest data, in nanoseconds since the Unix epoch.
	cut       atomic.Bool
	watchedAt atomic.Int64

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	// ends counts the ends of the process, other than by the end of the case.
	ends int
	// peakMB is the largest resident memory that was seen.
	peakMB int
}

// openStore opens the address at which the machine reaches the store.
func (m *machine) openStore() error {
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return err
	}
	m.store = listener.Addr().String()
	m.storeServer = &http.Server{Handler: http.HandlerFunc(m.serveStore)}
	go func() { _ = m.storeServer.Serve(listener) }()
	return nil
}

// serveStore passes a call on to the store. A machine that is partitioned from it hears
// nothing.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") && !r.URL.Query().Has("staleOk") {
		m.watchedAt.Store(time.Now().UnixNano())
	}
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	if !m.cut.Load() {
		m.lab.store.ServeHTTP(answer, r)
	}
	if m.cut.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// heldAnswer keeps an answer of the store, which is lost if the machine is cut off meanwhile.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *heldAnswer) Header() http.Header         { return a.header }
func (a *heldAnswer) WriteHeader(status int)      { a.status = status }
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

// writeSettings renders the template of the deploy file with the bounds of the small sites.
func (m *machine) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(m.lab.root, "deploy", "quetzald.ini"))
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{nodeId}}", m.name, "{{zone}}", m.zone, "{{region}}", "andina", "{{ip}}", m.ip, "{{portRange.0}}", fmt.Sprint(m.beaconPort),
		"{{listen.outbound}}", m.outbound, "{{listen.inbound}}", m.inbound, "{{listen.control}}", m.control,
		"{{listen.readinessAddr}}", m.readiness, "{{platform.address}}", m.store,
		"{{service}}", m.service, "{{appAddr}}", m.app, "{{heartbeat}}", heartbeat.String(),
		"{{bounds.grace}}", "6s", "{{bounds.drain}}", "2000ms", "{{bounds.quotaWindow}}", "5s", "{{bounds.quotaOverage}}", "0.1",
		"{{bounds.quotaSlack}}", "20", "{{bounds.budgetWindow}}", "10s", "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.retryBudgetSlack}}", "48", "{{limits.memoryMb}}", fmt.Sprint(memoryMB), "{{limits.maxFds}}", "4100",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("%w: the template has a field that the stand-in of the platform doesn't know", errCannotRun)
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process of the node and keeps it running, as the platform does.
func (m *machine) start() error {
	words, err := m.lab.command(m.settings)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.lab.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	p := exec.Command(filepath.Join(m.lab.root, words[0]), words[1:]...)
	p.Dir, p.Stdout, p.Stderr = m.lab.root, log, log
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := p.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	m.process, m.ended = p, make(chan struct{})
	go m.watch(p, m.ended)
	return nil
}

// watch waits for the end of a process and starts it again after a short delay.
func (m *machine) watch(p *exec.Cmd, ended chan struct{}) {
	exit := make(chan error, 1)
	go func() { exit <- p.Wait() }()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ticker.C:
			m.checkMemory(p)
		case err := <-exit:
			running = false
			m.recordEnd(err)
			close(ended)
		}
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.lab.note("process of %s is not started again: %v", m.name, err)
	}
}

func (m *machine) recordEnd(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.ends++
		m.lab.note("process of %s has ended: %v; it is started again in %v", m.name, err, restartDelay)
	}
}

// checkMemory kills a process that exceeds the memory of its machine, as the platform does.
func (m *machine) checkMemory(p *exec.Cmd) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Process.Pid))
	if err != nil {
		return
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return
	}
	mb := resident * os.Getpagesize() >> 20
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peakMB = max(m.peakMB, mb)
	if mb > memoryMB && m.lab.enforceMemory {
		m.lab.note("process of %s uses %d MB of %d MB; the platform kills it", m.name, mb, memoryMB)
		_ = p.Process.Kill()
	}
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	p, ended := m.process, m.ended
	m.mu.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		select {
		case <-ended:
		case <-time.After(3 * time.Second):
		}
	}
	_ = m.storeServer.Close()
}
