// Package recorder holds the metrics of a node as expvar variables.
//
// # Usage
//
//	r := recorder.New()
//	r.Refusals.Add("rate_exceeded", 1)
//	http.Handle("/debug/vars", r)
package recorder

import (
	"expvar"
	"io"
	"net/http"
	"runtime"
)

// Recorder holds the metrics of a node.
type Recorder struct {
	root *expvar.Map
	// Refusals counts refusals sent to callers and upstreams, by result code.
	Refusals *expvar.Map
	// PeerRefusals counts refusals sent to other nodes, by result code.
	PeerRefusals *expvar.Map
	// Retries counts retries and suppressed retries, by reason.
	Retries *expvar.Map
	// Gossip counts the datagrams and bytes of gossip.
	Gossip *expvar.Map
	// PeerBytes counts the bytes of connections that this node has opened to others, in both
	// directions, by kind and failure domain.
	PeerBytes *expvar.Map
	// Requests measures the time from a caller's request to its response, Queue
	// the time in the queue for the upstream, and Upstream the response time of
	// the upstream.
	Requests *Timer
	Queue    *Timer
	Upstream *Timer
}

// New returns a Recorder with all metrics at zero.
func New() *Recorder {
	r := &Recorder{
		root:         new(expvar.Map),
		Refusals:     new(expvar.Map),
		PeerRefusals: new(expvar.Map),
		Retries:      new(expvar.Map),
		Gossip:       new(expvar.Map),
		PeerBytes:    new(expvar.Map),
		Requests:     newTimer(),
		Queue:        newTimer(),
		Upstream:     newTimer(),
	}
	r.Publish("latency_requests", r.Requests.summary)
	r.Publish("latency_queue", r.Queue.summary)
	r.Publish("latency_upstream", r.Upstream.summary)
	r.root.Set("refusals", r.Refusals)
	r.root.Set("calls_refused", r.PeerRefusals)
	r.root.Set("retries", r.Retries)
	r.root.Set("gossip", r.Gossip)
	r.root.Set("peer_bytes", r.PeerBytes)
	r.Publish("goroutines", func() any { return runtime.NumGoroutine() })
	r.Publish("heap_bytes", heapBytes)
	return r
}

func heapBytes() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// CountPeerBytes returns a counter of PeerBytes. own is true for nodes of the own failure domain.
func (r *Recorder) CountPeerBytes(kind string, own bool) func(bytes int) {
	key := kind + "_across"
	if own {
		key = kind + "_own"
	}
	return func(bytes int) { r.PeerBytes.Add(key, int64(bytes)) }
}

// Publish adds a metric whose value is computed on each read.
func (r *Recorder) Publish(name string, value func() any) {
	r.root.Set(name, expvar.Func(value))
}

// ServeHTTP writes all metrics as JSON.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, r.root.String())
}
