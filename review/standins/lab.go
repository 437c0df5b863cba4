// Command standins plays one case of the review: it starts nodes as the deploy file says,
// beside stand-ins of the platform's store, of endpoints and of clients, causes the
// disruption and checks one rule by what clients and endpoints have seen.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	hostName  = "hulo84.example"
	// memoryMB is the memory of a machine, as in the small site files.
	memoryMB = 284
	// restartDelay is the delay after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
)

// lab holds the whole deployment of a case.
type lab struct {
	// root is the folder of the repository, and folder a temporary one.
	root, folder string
	trouble      bool
	store        *store
	machines     []*machine
	endpoints    []*endpoint
	web          *http.Client
	// zones is the number of zones, over which the machines are spread.
	zones int
	// work is the time that endpoints take for a request.
	work time.Duration
	// enforceMemory makes the platform kill processes that exceed the memory of their
	// machine.
	enforceMemory bool
	ids           atomic.Uint64
	started       time.Time

	mu       sync.Mutex
	file     *os.File
	record   *bufio.Writer
	runs     []run
	outcomes []outcome
	closed   bool
}

// errCannotRun means that the case can't be run here.
var errCannotRun = errors.New("the case can't run")

func newLab(root, record string) (*lab, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{
		root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), file: file, record: bufio.NewWriter(file),
		web: &http.Client{}, started: time.Now(), zones: 2, work: 50 * time.Millisecond,
	}
	l.note("with the disruption: %v", l.trouble)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line(format, args...)
}

// line writes a line to the record. The caller holds the lock.
func (l *lab) line(format string, args ...any) {
	if !l.closed {
		fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (l *lab) nextID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), l.ids.Add(1)) }

// ran records that an endpoint began to work on a request.
func (l *lab) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	l.line("run     %s %s %s at endpoint %s of service %s", r.id, r.method, r.path, r.instance, r.service)
}

// answered records what a client saw of a request.
func (l *lab) answered(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.outcomes = append(l.outcomes, o)
	l.line("request %s %s %s, %d bytes, key %s, sent at %.3f to %s, on a kept connection: %v; status %d, body whole: %v %s",
		o.id, o.request.method, o.request.path, len(o.request.body), o.request.key, o.at.Sub(l.started).Seconds(), o.machine, o.kept, o.status, o.whole, o.problem)
}

// results returns what was run and answered so far.
func (l *lab) results() ([]run, []outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...), append([]outcome(nil), l.outcomes...)
}

// freePort returns a port that is free for TCP and UDP on all the given addresses, and not
// taken yet. It lies below the ports of outgoing connections.
func freePort(ips []string, taken map[int]bool) (int, error) {
	for range 2000 {
		port := 12000 + rand.IntN(18000)
		if !taken[port] && isFree(ips, port) {
			taken[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("%w: no free port", errCannotRun)
}

func isFree(ips []string, port int) bool {
	var open []io.Closer
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		stream, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		open = append(open, stream)
		datagrams, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		open = append(open, datagrams)
	}
	return true
}

// addMachines adds a machine for each service named. Each has a loopback address of its own;
// ports are the same on all.
func (l *lab) addMachines(services ...string) error {
	second, third := 16+rand.IntN(200), 1+rand.IntN(250)
	var ips []string
	for i := range services {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", second, third, 10+i))
	}
	taken := map[int]bool{}
	var ports [6]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ips, taken); err != nil {
			return err
		}
	}
	for i, service := range services {
		at := func(k int) string { return fmt.Sprintf("%s:%d", ips[i], ports[k]) }
		m := &machine{
			lab: l, name: fmt.Sprintf("sidecar-%s-%d", service, i), ip: ips[i], zone: fmt.Sprintf("zone-%d", i%l.zones), service: service,
			outbound: at(0), inbound: at(1), control: at(2), readiness: at(3), app: at(4), beaconPort: ports[5],
		}
		m.settings = filepath.Join(l.folder, m.name+".ini")
		if err := m.openStore(); err != nil {
			return err
		}
		if err := m.writeSettings(); err != nil {
			return err
		}
		l.machines = append(l.machines, m)
	}
	return nil
}

// command returns the command of the deploy file, with the path of the settings file.
func (l *lab) command(settings string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(l.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.Fields(strings.ReplaceAll(strings.TrimSuffix(text, `"`), "/etc/quetzalhub/local.toml", settings)), nil
		}
	}
	return nil, fmt.Errorf("%w: the deploy file has no run line", errCannotRun)
}

// awaitAnswers waits until every machine answers each of the requests with a success.
func (l *lab) awaitAnswers(requests ...request) error {
	end := time.Now().Add(20 * time.Second)
	for _, m := range l.machines {
		c := &client{lab: l, to: m}
		for _, r := range requests {
			for c.send(r).status != http.StatusOK {
				if time.Now().After(end) {
					return fmt.Errorf("%w: %s does not serve %s", errCannotRun, m.name, r.path)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		c.close()
	}
	return nil
}

// stop ends everything that the lab has started.
func (l *lab) stop() {
	for _, m := range l.machines {
		m.stop()
	}
	for _, e := range l.endpoints {
		e.cancel()
		_ = e.server.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.record.Flush()
	_ = l.file.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("the logs of the nodes are in", l.folder)
		return
	}
	_ = os.RemoveAll(l.folder)
}
