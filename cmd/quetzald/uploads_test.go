package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/platform/objects"
)

const (
	// memoryMegabytes is the memory limit of the node, and maxMemoryShare the share of it
	// that may be resident.
	memoryMegabytes, maxMemoryShare = 284, 0.7
	// largeBody is the largest accepted body.
	largeBody = 64 << 20
	// smallInterval is the time between two small requests.
	smallInterval = 10 * time.Millisecond
)

// uploadNode is a process of a node with its upstream and the store of the platform.
type uploadNode struct {
	callers string
	process *exec.Cmd
	ended   chan error
}

func startUploadNode(t *testing.T) *uploadNode {
	g := NewWithT(t)
	folder := t.TempDir()
	daemon, settings := filepath.Join(folder, "quetzald"), filepath.Join(folder, "node.ini")
	out, err := exec.Command("go", "build", "-o", daemon, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	upstream := httptest.NewServer(http.HandlerFunc(serveUpload))
	t.Cleanup(upstream.Close)
	store := objects.New()
	store.Put("config", "main", []byte(`{"version":"r1","tenants":[
{"name":"small","apiKeys":["key-small"],"priority":1,"ratePerS":1000,"burst":1000},
{"name":"large","apiKeys":["key-large"],"priority":1,"ratePerS":1000,"burst":1000}],
"listeners":[{"host":"hall.example","rules":[
{"name":"book","kind":"non_idempotent","targetLatency":"1500ms","priority":0,"match":{"pathPrefix":"/book/"},"action":{"service":"benches","timeout":"5s","maxAttempts":2}},
{"name":"files","kind":"non_idempotent","targetLatency":"4s","priority":1,"match":{"pathPrefix":"/files/"},"action":{"service":"benches","timeout":"8s","maxAttempts":2}}]}],
"clusters":[{"name":"benches","healthPath":"/healthz"}]}`))
	platform := httptest.NewServer(store)
	t.Cleanup(platform.Close)
	n := &uploadNode{callers: freeAddress(g), ended: make(chan error, 1)}
	control := freeAddress(g)
	g.Expect(os.WriteFile(settings, fmt.Appendf(nil, `[node]
name = node-1
domain = north
callers = %s
peers = %s
local = %s
admin = 127.0.0.1:0
beacon = 127.0.0.1:0
[platform]
address = %s
[traffic]
body = %d
[upstream]
service = benches
address = %s
heartbeat = 1s
[bounds]
grace = 1s
memory = %d
`, n.callers, freeAddress(g), control, platform.Listener.Addr(), largeBody, upstream.Listener.Addr(), memoryMegabytes), 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(folder, "log"))
	g.Expect(err).NotTo(HaveOccurred())
	n.process = exec.Command(daemon, "-attach", "-settings", settings)
	n.process.Stdout, n.process.Stderr = log, log
	g.Expect(n.process.Start()).To(Succeed())
	go func() { n.ended <- n.process.Wait() }()
	t.Cleanup(func() { _ = n.process.Process.Kill() })
	report := fmt.Sprintf(`{"address":"%s","born":5,"info":{"service":"benches","slots":64},"status":{"state":"ready","sequence":1,"coldRemaining":"0ms"}}`, upstream.Listener.Addr())
	g.Eventually(func(g Gomega) {
		req, err := http.NewRequest(http.MethodPut, "http://"+control+"/quetzalhub/instances/i-1", strings.NewReader(report))
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(n.send(http.DefaultClient, "key-small", "/book/1", http.NoBody, 0)).To(Equal(http.StatusOK))
	}, 20*time.Second, 200*time.Millisecond).Should(Succeed())
	return n
}

// serveUpload reads a request and states the length of its body.
func serveUpload(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", "i-1")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "3e1b")
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
}

// send sends a request with a body of a length, which is 0 for none, and returns the status:
// 0 if the connection has ended without an answer, and -1 if the upstream got another length.
func (n *uploadNode) send(client *http.Client, key, path string, body io.Reader, length int64) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+path, body)
	if err != nil {
		return 0
	}
	req.Host, req.ContentLength = "hall.example", length
	req.Header.Set("Request-Id", "r-1")
	req.Header.Set("Deadline-Ms", "8000")
	req.Header.Set("Api-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return 0
	case resp.StatusCode == http.StatusOK && string(text) != strconv.FormatInt(length, 10):
		return -1
	default:
		return resp.StatusCode
	}
}

// sendLarge sends a body of the largest size.
func (n *uploadNode) sendLarge() int {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	return n.send(client, "key-large", "/files/1", io.LimitReader(zeros{}, largeBody), largeBody)
}

// sendSlowly sends a byte a second until the time has passed or the node answers.
func (n *uploadNode) sendSlowly(until time.Time) {
	conn, err := net.Dial("tcp", n.callers)
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /files/1 HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: r-2\r\nDeadline-Ms: 8000\r\nApi-Key: key-large\r\nContent-Length: 67108864\r\n\r\n")
	for err == nil && time.Now().Before(until) {
		time.Sleep(time.Second)
		_, err = conn.Write([]byte{0})
	}
}

// zeros yields zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// smallLoad is the outcome of small requests.
type smallLoad struct {
	mu      sync.Mutex
	sent    int
	served  int
	lost    int
	elapsed []time.Duration
}

// run sends small requests at a fixed rate for a time.
func (l *smallLoad) run(n *uploadNode, d time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(smallInterval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		group.Go(func() {
			began := time.Now()
			status := n.send(client, "key-small", "/book/1", http.NoBody, 0)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent++
			switch status {
			case http.StatusOK:
				l.served++
				l.elapsed = append(l.elapsed, time.Since(began))
			case 0:
				l.lost++
			}
		})
	}
}

// p99 returns the 99th percentile of the time that the served requests took.
func (l *smallLoad) p99() time.Duration {
	slices.Sort(l.elapsed)
	return l.elapsed[len(l.elapsed)*99/100]
}

func (l *smallLoad) servedShare() float64 { return float64(l.served) / float64(l.sent) }

// peakMemory returns the largest resident memory of the process so far, in megabytes.
func (n *uploadNode) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				return -1
			}
			return kilobytes / 1024
		}
	}
	return -1
}

// TestUploadsDoNotExhaustMemory guards against a node whose memory depends on the bodies that
// callers send: it exceeded its limit, was ended by the platform and took the requests of
// others with it. Small requests at a node beside the senders are compared with those at
// another node, without senders, at the same time.
func TestUploadsDoNotExhaustMemory(t *testing.T) {
	cases := map[string]func(n *uploadNode, d time.Duration, statuses func(int)){
		"thirty large bodies at once": func(n *uploadNode, d time.Duration, add func(int)) {
			var group sync.WaitGroup
			for range 30 {
				group.Go(func() { add(n.sendLarge()) })
			}
			group.Wait()
		},
		"two hundred slow senders": func(n *uploadNode, d time.Duration, _ func(int)) {
			var group sync.WaitGroup
			until := time.Now().Add(d)
			for range 200 {
				group.Go(func() { n.sendSlowly(until) })
			}
			group.Wait()
		},
	}
	for name, upload := range cases {
		t.Run(name, func(t *testing.T) {
			const loadTime = 6 * time.Second
			g := NewWithT(t)
			n, other := startUploadNode(t), startUploadNode(t)
			var alone, beside smallLoad
			var mu sync.Mutex
			statuses := map[int]int{}
			var group sync.WaitGroup
			group.Go(func() {
				upload(n, loadTime, func(status int) {
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
				})
			})
			group.Go(func() { alone.run(other, loadTime) })
			beside.run(n, loadTime)
			group.Wait()
			t.Logf("large requests by status: %v; small ones: %d of %d served, p99 %v; at the other node: %d of %d, p99 %v; %d MB at most",
				statuses, beside.served, beside.sent, beside.p99(), alone.served, alone.sent, alone.p99(), n.peakMemory())
			g.Expect(n.ended).NotTo(Receive())
			g.Expect(n.peakMemory()).To(And(BeNumerically(">", 0), BeNumerically("<", maxMemoryShare*memoryMegabytes)))
			g.Expect(beside.lost).To(BeZero())
			g.Expect(beside.servedShare()).To(BeNumerically(">=", 0.98*alone.servedShare()))
			g.Expect(beside.p99()).To(BeNumerically("<=", 2*alone.p99()))
			g.Expect(statuses).NotTo(HaveKey(-1), "the upstream got another length")
			g.Expect(n.sendLarge()).To(Equal(http.StatusOK), "one large body afterwards")
			var pair [2]int
			for i := range pair {
				group.Go(func() { pair[i] = n.sendLarge() })
			}
			group.Wait()
			g.Expect(pair).To(Equal([2]int{http.StatusOK, http.StatusOK}), "two large bodies at once")
		})
	}
}
