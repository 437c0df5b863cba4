// Package driver sends load at given rates and measures what comes back.
//
// The load is an open loop: requests are due at times drawn beforehand,
// whether or not earlier ones were answered, and latency counts from the time
// a request was due. So a slow system can't hide its delays by slowing the
// load down.
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
)

const (
	// slice is the time over which the course of a run is counted.
	slice = 100 * time.Millisecond
	// spin is the time before a request is due that is not slept.
	spin = 1500 * time.Microsecond
	// longest is the largest latency that is told apart.
	longest = 2 * time.Minute
	// digits is the number of significant digits of latencies.
	digits = 3
	// idlePerTarget is the number of idle connections kept to one target.
	idlePerTarget = 512
)

// Scenario describes a run.
type Scenario struct {
	Seed     uint64
	Duration time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	// LateAfter is the latency beyond which an answer counts as late.
	LateAfter time.Duration
	// TriggerStart and TriggerEnd bound the trigger of an overload, for the comparison of
	// goodput before, during and after it; both zero if there is none.
	TriggerStart, TriggerEnd time.Duration
	Streams                  []Stream
}

// Stream is a flow of requests of one kind.
type Stream struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Targets are taken in turn at random.
	Targets []string
	Method  string
	Path    string
	Key     string
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// Idempotent marks requests that may run more than once.
	Idempotent bool
	// MaxRetries is how often a request is sent again at once after a failure.
	MaxRetries int
	// SurgeStart and SurgeEnd bound a surge, in which the rate is multiplied by Surge.
	SurgeStart, SurgeEnd time.Duration
	SurgeFactor          float64
}

// Result holds what came back of a stream.
type Result struct {
	Name string `json:"name"`
	// Idempotent marks requests that may run more than once.
	Idempotent        bool             `json:"idempotent"`
	Sent              int              `json:"sent"`
	Attempts          int              `json:"attempts"`
	Answered          int              `json:"answered"`
	Failed            map[string]int   `json:"failed"`
	P50               time.Duration    `json:"p50"`
	P99               time.Duration    `json:"p99"`
	P999              time.Duration    `json:"p999"`
	Max               time.Duration    `json:"max"`
	Wrong             int              `json:"wrong"`
	AnsweredPerBucket []int            `json:"course"`
	States            map[string]State `json:"-"`
	// Phases compares goodput if the scenario has a trigger.
	Phases *Phases `json:"phases,omitempty"`
}

// State is the last outcome seen for a request id.
type State string

// stream is a stream under way.
type stream struct {
	Stream
	client *http.Client
	prefix string
	useful time.Duration

	mu        sync.Mutex
	result    Result
	histogram *hdrhistogram.Histogram
}

// Run sends the load and returns a result for each stream, in order.
func Run(ctx context.Context, s Scenario) []Result {
	client := &http.Client{
		Timeout: s.Timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idlePerTarget,
			DialContext:         (&net.Dialer{Timeout: s.Timeout}).DialContext,
			DisableCompression:  true,
		},
	}
	started := time.Now()
	var group sync.WaitGroup
	streams := make([]*stream, len(s.Streams))
	for i, described := range s.Streams {
		streams[i] = newStream(described, client, s)
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		group.Go(func() { streams[i].run(ctx, rng, started, s.Duration) })
	}
	group.Wait()
	results := make([]Result, len(streams))
	for i, st := range streams {
		results[i] = st.summary()
		if s.TriggerEnd > 0 {
			results[i].Phases = phasesOf(results[i].AnsweredPerBucket, s.TriggerStart, s.TriggerEnd)
		}
	}
	return results
}

func newStream(described Stream, client *http.Client, s Scenario) *stream {
	return &stream{
		Stream:    described,
		client:    client,
		useful:    s.LateAfter,
		prefix:    fmt.Sprintf("%s-%d", described.Name, s.Seed),
		histogram: hdrhistogram.New(1, longest.Microseconds(), digits),
		result: Result{
			Name:              described.Name,
			Idempotent:        described.Idempotent,
			Failed:            map[string]int{},
			AnsweredPerBucket: make([]int, s.Duration/slice+1),
			States:            map[string]State{},
		},
	}
}

// run sends the stream's requests at their times and waits for the answers.
func (s *stream) run(ctx context.Context, rng *rand.Rand, started time.Time, d time.Duration) {
	var group sync.WaitGroup
	due := time.Duration(0)
	for number := 0; ; number++ {
		due += time.Duration(rng.ExpFloat64() / s.rateAt(due) * float64(time.Second))
		if due >= d || ctx.Err() != nil {
			break
		}
		waitUntil(started.Add(due))
		target := s.Targets[rng.IntN(len(s.Targets))]
		id := fmt.Sprintf("%s-%d", s.prefix, number)
		at := due
		group.Go(func() { s.request(ctx, target, id, started.Add(at), at) })
	}
	group.Wait()
}

// waitUntil sleeps until shortly before a time and spins for the rest, since
// sleeps end late by more than what is measured.
func waitUntil(at time.Time) {
	if left := time.Until(at); left > spin {
		time.Sleep(left - spin)
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

// request sends one request, with its resends, and records the outcome.
func (s *stream) request(ctx context.Context, target, id string, due time.Time, at time.Duration) {
	attempts := 0
	var state State
	for range s.MaxRetries + 1 {
		attempts++
		state = s.attempt(ctx, target, id)
		if state == stateAnswered || state == stateWrong {
			break
		}
	}
	if state == stateAnswered && s.useful > 0 && time.Since(due) > s.useful {
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
		s.result.AnsweredPerBucket[at/slice]++
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
	// stateWrong means that the answer belongs to another request or is short.
	stateWrong State = "wrong"
	stateCut   State = "cut"
	// stateLate means that the answer came too late to be of use.
	stateLate State = "late"
)

// attempt sends a request once.
func (s *stream) attempt(ctx context.Context, target, id string) State {
	body := strings.NewReader(strings.Repeat("x", s.BodyBytes))
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+target+s.Path, body)
	if err != nil {
		return stateCut
	}
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
	}
	req.Header.Set("X-Id", id)
	resp, err := s.client.Do(req)
	if err != nil {
		return stateCut
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return stateCut
	}
	return judge(resp.StatusCode, answer, id)
}

// judge tells whether an answer is whole and belongs to the request.
func judge(status int, answer []byte, id string) State {
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
