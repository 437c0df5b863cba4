package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the upper bound of the histogram.
	maxDuration = time.Minute
	// significantDigits is the number of decimal digits that the histogram
	// keeps of a duration.
	significantDigits = 2
)

// Timer is a histogram of durations.
type Timer struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newTimer() *Timer {
	return &Timer{histogram: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

// Observe adds a duration. Durations above a minute count as a minute.
func (t *Timer) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	value := min(max(d.Microseconds(), 1), maxDuration.Microseconds())
	if err := t.histogram.RecordValue(value); err != nil {
		// Unreachable: the value was clamped to the range of the histogram.
		panic(err)
	}
}

// Summary is the published form of a Timer, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (t *Timer) summary() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	quantileMs := func(q float64) float64 { return float64(t.histogram.ValueAtQuantile(q)) / 1000 }
	return Summary{t.histogram.TotalCount(), quantileMs(50), quantileMs(90), quantileMs(99), float64(t.histogram.Max()) / 1000}
}
