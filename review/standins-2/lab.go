package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as the pages give them for sites of 16 machines.
const (
	heartbeat = 1500 * time.Millisecond
	drain     = 2 * time.Second
	grace     = 6 * time.Second
	maxSetup  = 20 * time.Second
	// settle is the time after which all machines know each other and their endpoints.
	settle = 4 * time.Second
)

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// at returns a time in seconds since the begin of the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s "+format+"\n", append([]any{r.at(time.Now())}, values...)...)
}

// node is a machine with its quetzald process.
type node struct {
	name, zone, service, ip string
	settings                string
	lab                     *lab
	command                 *exec.Cmd
	ended                   chan struct{}
	log                     *os.File
}

func (n *node) app() string      { return n.ip + ":8547" }
func (n *node) outbound() string { return n.ip + ":8548" }
func (n *node) control() string  { return n.ip + ":8540" }
func (n *node) admin() string    { return n.ip + ":8546" }

// lab is a small deployment on loopback addresses.
type lab struct {
	log    *record
	dir    string
	daemon string
	prefix string
	store  *store
	nodes  []*node
	seq    int
}

// newLab starts the store on free addresses.
func newLab(log *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	daemon, err := filepath.Abs("target/quetzald")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	l := &lab{log: log, dir: dir, daemon: daemon}
	for range 20 {
		l.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if l.store, err = newStore(l.prefix + "200:8545"); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// addNode writes the settings of a machine, as deploy/quetzald.ini renders them.
func (l *lab) addNode(zone, service string) *node {
	l.seq++
	n := &node{name: fmt.Sprintf("side-%s-%d", zone, l.seq), zone: zone, service: service, ip: fmt.Sprintf("%s%d", l.prefix, l.seq), lab: l}
	n.settings = filepath.Join(l.dir, n.name+".ini")
	l.nodes = append(l.nodes, n)
	return n
}

// values are the fields of a settings file that the template uses.
func (n *node) values() map[string]string {
	return map[string]string{
		"nodeId": n.name, "zone": n.zone, "region": "region-1", "listen.outbound": n.outbound(), "listen.inbound": n.ip + ":8543",
		"listen.control": n.control(), "listen.readinessAddr": n.admin(), "ip": n.ip, "portRange.0": "7000",
		"platform.address": n.lab.prefix + "200:8545", "service": n.service, "appAddr": n.app(), "heartbeat": "1500ms",
		"bounds.grace": "6s", "bounds.drain": "2000ms", "bounds.quotaWindow": "5s", "bounds.quotaOverage": "0.1", "bounds.quotaSlack": "20",
		"bounds.budgetWindow": "10s", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "48",
		"limits.memoryMb": "284", "limits.maxFds": "4100",
	}
}

func (n *node) writeSettings() error {
	template, err := os.ReadFile("deploy/quetzald.ini")
	if err != nil {
		return err
	}
	text := string(template)
	for name, value := range n.values() {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return errors.New("the template has a field that the lab does not know")
	}
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.command = exec.Command(n.lab.daemon, "-attach", "-settings", n.settings)
	n.command.Env = []string{"QUETZALD_SET=bounds.evacuation= bounds.warming= bounds.margin=", "PATH=" + os.Getenv("PATH"), "HOME=" + n.lab.dir}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	command, ended := n.command, n.ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	n.lab.log.add("process of %s started", n.name)
	return nil
}

// signal sends a signal to the process of a machine.
func (n *node) signal(s syscall.Signal) {
	n.lab.log.add("%v to the process of %s", s, n.name)
	_ = n.command.Process.Signal(s)
}

// isReady asks the process of a machine as the platform does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.admin() + "/quetzalhub/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process of a machine is ready.
func (n *node) awaitReady() error {
	for until := time.Now().Add(maxSetup); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// startMachines starts a machine with an endpoint for each of the services, in two zones, and
// waits until all is in use.
func (l *lab) startMachines(services ...string) ([]*endpoint, error) {
	var endpoints []*endpoint
	for i, service := range services {
		n := l.addNode([]string{"a", "b"}[i%2], service)
		e := &endpoint{id: "i-" + n.name, service: service, zone: n.zone, address: n.app(), control: n.control(), heartbeat: heartbeat, log: l.log}
		if err := e.start(0); err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for _, n := range l.nodes {
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(settle)
	return endpoints, nil
}

// close ends all processes that the lab started.
func (l *lab) close() {
	for _, n := range l.nodes {
		if n.command == nil || n.command.Process == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.ended
	}
	_ = l.store.server.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs of the processes:", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// route returns a rule of the configuration.
func route(name, kind, prefix, service string, timeout string, noAuth bool) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "targetLatency": "1500ms", "priority": 1, "noAuth": noAuth, "match": map[string]any{"pathPrefix": prefix},
		"action": map[string]any{"service": service, "timeout": timeout, "maxAttempts": 2},
	}
}

// configuration returns a configuration of one host.
func configuration(host string, tenants, rules []map[string]any, services ...string) map[string]any {
	var clusters []map[string]any
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 1000, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": tenants, "listeners": []map[string]any{{"host": host, "rules": rules}}, "clusters": clusters,
	}
}
