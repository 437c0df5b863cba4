// Package driver generates load at given rates and measures the responses.
//
// The load is an open loop: requests are due at the times of a Poisson process,
// whether or not earlier ones were answered, and latency is measured from the
// time a request was due. A slow system therefore can't hide its delays by
// slowing down the load (coordinated omission).
//
// # Usage
//
//	report := driver.Run(ctx, driver.Scenario{
//		Seed: 1, Duration: 10 * time.Second,
//		Streams: []driver.Stream{{Name: "orders", Rate: 100, Targets: []string{"127.0.0.1:7000"}, Method: "POST", Path: "/orders"}},
//	})
package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalhub/verifier"
)

const (
	// bucketWidth is the length of the intervals in which answers are counted.
	bucketWidth = 100 * time.Millisecond
	// spinTime is the time before a request is due that is spent spinning
	// instead of sleeping.
	spinTime = 1500 * time.Microsecond
	// maxLatency is the largest latency that the histogram can record.
	maxLatency = 2 * time.Minute
	// significantDigits is the number of decimal digits to which latencies are
	// recorded.
	significantDigits = 3
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 512
)

// Scenario describes a run.
type Scenario struct {
	Seed     uint64
	Duration time.Duration
	// Timeout bounds each attempt of a request.
	Timeout time.Duration
	// LateAfter is the latency beyond which an answer counts as late; zero if
	// no answer does.
	LateAfter time.Duration
	// TriggerStart and TriggerEnd bound the trigger of an overload, for the
	// comparison of goodput before, during and after it; both are zero if there
	// is none.
	TriggerStart, TriggerEnd time.Duration
	Streams                  []Stream
}

// Stream describes a stream of requests of one kind.
type Stream struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Targets are addresses; each request goes to one chosen at random.
	Targets []string
	Method  string
	Path    string
	Key     string
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// Idempotent marks requests that may run more than once.
	Idempotent bool
	// MaxRetries is how often a failed request is retried, without backoff.
	MaxRetries int
	// SurgeStart and SurgeEnd bound a surge, in which the rate is multiplied by
	// SurgeFactor; there is no surge if that is zero.
	SurgeStart, SurgeEnd time.Duration
	SurgeFactor          float64
}

// Result holds the outcomes and latencies of a stream.
type Result struct {
	Name string `json:"name"`
	// Idempotent marks requests that may run more than once.
	Idempotent bool           `json:"idempotent"`
	Sent       int            `json:"sent"`
	Attempts   int            `json:"attempts"`
	Answered   int            `json:"answered"`
	Failed     map[string]int `json:"failed"`
	P50        time.Duration  `json:"p50"`
	P99        time.Duration  `json:"p99"`
	P999       time.Duration  `json:"p999"`
	Max        time.Duration  `json:"max"`
	Wrong      int            `json:"wrong"`
	// AnsweredPerBucket counts answered requests by the 100 ms interval in which
	// they were due.
	AnsweredPerBucket []int            `json:"course"`
	States            map[string]State `json:"-"`
	// Phases compares goodput; nil if the scenario has no trigger.
	Phases *Phases `json:"phases,omitempty"`
}

// State is the outcome of the last attempt of a request: one of the states
// below, a result code or an HTTP status.
type State string

// stream is the state of a running stream.
type stream struct {
	Stream
	client    *http.Client
	idPrefix  string
	lateAfter time.Duration

	mu        sync.Mutex
	result    Result
	histogram *hdrhistogram.Histogram
}

// Run sends the load and returns a result for each stream, in order.
func Run(ctx context.Context, s Scenario) []Result {
	client := &http.Client{
		Timeout: s.Timeout,
		Transport: verifier.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdlePerTarget,
			DialContext:         (&net.Dialer{Timeout: s.Timeout}).DialContext,
			DisableCompression:  true,
		}),
	}
	started := time.Now()
	var group sync.WaitGroup
	streams := make([]*stream, len(s.Streams))
	for i, spec := range s.Streams {
		streams[i] = newStream(spec, client, s)
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		group.Go(func() { streams[i].run(ctx, rng, started, s.Duration) })
	}
	group.Wait()
	results := make([]Result, len(streams))
	for i, st := range streams {
		results[i] = st.summary()
		if s.TriggerEnd > 0 {
			results[i].Phases = comparePhases(results[i].AnsweredPerBucket, s.TriggerStart, s.TriggerEnd)
		}
	}
	return results
}

func newStream(spec Stream, client *http.Client, s Scenario) *stream {
	return &stream{
		Stream:    spec,
		client:    client,
		lateAfter: s.LateAfter,
		idPrefix:  fmt.Sprintf("%s-%d", spec.Name, s.Seed),
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		result: Result{
			Name:              spec.Name,
			Idempotent:        spec.Idempotent,
			Failed:            map[string]int{},
			AnsweredPerBucket: make([]int, s.Duration/bucketWidth+1),
			States:            map[string]State{},
		},
	}
}

// run sends the stream's requests when they are due and waits for the answers.
func (s *stream) run(ctx context.Context, rng *rand.Rand, started time.Time, duration time.Duration) {
	var group sync.WaitGroup
	due := time.Duration(0)
	for number := 0; ; number++ {
		due += time.Duration(rng.ExpFloat64() / s.rateAt(due) * float64(time.Second))
		if due >= duration || ctx.Err() != nil {
			break
		}
		waitUntil(started.Add(due))
		target := s.Targets[rng.IntN(len(s.Targets))]
		id := fmt.Sprintf("%s-%d", s.idPrefix, number)
		offset := due
		group.Go(func() { s.send(ctx, target, id, started.Add(offset), offset) })
	}
	group.Wait()
}

// waitUntil sleeps until shortly before a time and then spins, since sleeps
// overrun by more than the latencies to be measured.
func waitUntil(at time.Time) {
	if left := time.Until(at); left > spinTime {
		time.Sleep(left - spinTime)
	}
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

func (s *stream) rateAt(at time.Duration) float64 {
	if s.SurgeFactor > 0 && at >= s.SurgeStart && at < s.SurgeEnd {
		return s.Rate * s.SurgeFactor
	}
	return s.Rate
}

// send sends one request, with its retries, and records the outcome. due is
// offset after the start of the run.
func (s *stream) send(ctx context.Context, target, id string, due time.Time, offset time.Duration) {
	attempts := 0
	var state State
	for range s.MaxRetries + 1 {
		attempts++
		state = s.sendOnce(ctx, target, id)
		if state == stateAnswered || state == stateWrong {
			break
		}
	}
	if state == stateAnswered && s.lateAfter > 0 && time.Since(due) > s.lateAfter {
		state = stateLate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Sent++
	s.result.Attempts += attempts
	s.result.States[id] = state
	switch state {
	case stateAnswered:
		s.result.Answered++
		s.result.AnsweredPerBucket[offset/bucketWidth]++
		_ = s.histogram.RecordValue(time.Since(due).Microseconds())
	case stateWrong:
		s.result.Wrong++
	default:
		s.result.Failed[string(state)]++
	}
}

// States of requests besides result codes.
const (
	stateAnswered State = "answered"
	// stateWrong means that the answer is malformed or belongs to another
	// request.
	stateWrong State = "wrong"
	// stateNoResponse means that the connection failed, was cut or timed out.
	stateNoResponse State = "cut"
	// stateLate means that the answer arrived after Scenario.LateAfter.
	stateLate State = "late"
)

// sendOnce sends one attempt of a request.
func (s *stream) sendOnce(ctx context.Context, target, id string) State {
	body := strings.NewReader(strings.Repeat("x", s.BodyBytes))
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+target+s.Path, body)
	if err != nil {
		return stateNoResponse
	}
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
	}
	req.Header.Set("X-Id", id)
	resp, err := s.client.Do(req)
	if err != nil {
		return stateNoResponse
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return stateNoResponse
	}
	return classifyResponse(resp.StatusCode, answer, id)
}

// classifyResponse returns the state of a request from its answer, which must
// be complete and carry the id of the request.
func classifyResponse(status int, answer []byte, id string) State {
	var document struct {
		ID   string `json:"id"`
		Code int    `json:"code"`
	}
	if err := json.Unmarshal(answer, &document); err != nil {
		if status == http.StatusOK {
			return stateWrong
		}
		return State(fmt.Sprintf("status %d", status))
	}
	switch {
	case document.Code != 0:
		return State(fmt.Sprintf("code %d", document.Code))
	case status != http.StatusOK:
		return State(fmt.Sprintf("status %d", status))
	case document.ID != id:
		return stateWrong
	default:
		return stateAnswered
	}
}

func (s *stream) summary() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.P50 = s.quantile(50)
	s.result.P99 = s.quantile(99)
	s.result.P999 = s.quantile(99.9)
	s.result.Max = time.Duration(s.histogram.Max()) * time.Microsecond
	return s.result
}

func (s *stream) quantile(q float64) time.Duration {
	return time.Duration(s.histogram.ValueAtQuantile(q)) * time.Microsecond
}
