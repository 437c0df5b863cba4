// Package reporter writes the structured log of a node: one line for each
// decision on a request and for each change of the node's state.
//
// Lines are queued for a goroutine that writes them. A line is dropped and
// counted if the queue is full or if its event has reached its limit of lines
// per second, so neither a slow reader of the log nor a burst of events delays
// requests. The next line of an event after dropped ones carries their number.
//
// # Usage
//
//	r := reporter.New(os.Stdout, "node-1", level)
//	go r.Run(ctx)
//	r.Event("refused", "request", id, "code", 1005)
//	r.Notice("endpoint_ready", "upstream", id)
package reporter

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// queueCapacity is the number of lines that can wait to be written.
	queueCapacity = 512
	// maxEventLinesPerSecond limits the lines of one event. About ten events
	// at this rate cost less than one percent of a core.
	maxEventLinesPerSecond = 20
	// flushTimeout limits the time for writing queued lines at shutdown.
	flushTimeout = 300 * time.Millisecond
)

type line struct {
	at     time.Time
	level  log.Level
	event  string
	fields []any
}

// eventCounter counts the lines of one event that were written in the current
// second, and those omitted since the last line.
type eventCounter struct {
	second  int64
	written int
	omitted int
}

// Reporter writes the log of a node.
type Reporter struct {
	logger  *log.Logger
	started time.Time
	lines   chan line
	done    chan struct{}

	mu       sync.Mutex
	counters map[string]*eventCounter
	// dropped counts all lines that were not written.
	dropped int64
}

// New returns a Reporter for the named node that writes to w.
func New(w io.Writer, name string, level log.Level) *Reporter {
	logger := log.NewWithOptions(w, log.Options{Formatter: log.LogfmtFormatter, Level: level})
	return &Reporter{
		logger:   logger.With("node", name),
		started:  time.Now(),
		lines:    make(chan line, queueCapacity),
		done:     make(chan struct{}),
		counters: map[string]*eventCounter{},
	}
}

// Event queues a line about a request, unless the event has reached its limit
// of lines in this second. Fields are alternating keys and values.
func (r *Reporter) Event(event string, fields ...any) {
	now := time.Now()
	omitted, ok := r.allow(event, now)
	if !ok {
		return
	}
	if omitted > 0 {
		fields = append(fields, "left_out", omitted)
	}
	r.enqueue(line{now, log.InfoLevel, event, fields})
}

// Notice queues a line about a change of the node's state. Such lines are rare,
// so they have no limit per second and are dropped only if the queue is full.
func (r *Reporter) Notice(event string, fields ...any) {
	r.enqueue(line{time.Now(), log.InfoLevel, event, fields})
}

// Dropped returns the number of lines that were not written.
func (r *Reporter) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// allow reports whether an event may write a line now, and how many of its
// lines were omitted since the last one.
func (r *Reporter) allow(event string, now time.Time) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counter := r.counters[event]
	if counter == nil {
		counter = &eventCounter{}
		r.counters[event] = counter
	}
	if second := int64(now.Sub(r.started) / time.Second); second != counter.second {
		counter.second, counter.written = second, 0
	}
	if counter.written >= maxEventLinesPerSecond {
		counter.omitted++
		r.dropped++
		return 0, false
	}
	counter.written++
	omitted := counter.omitted
	counter.omitted = 0
	return omitted, true
}

func (r *Reporter) enqueue(l line) {
	select {
	case r.lines <- l:
	default:
		r.mu.Lock()
		r.dropped++
		r.mu.Unlock()
	}
}

// Run writes queued lines until the context ends, and then flushes the queue.
func (r *Reporter) Run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case l := <-r.lines:
			r.write(l)
		case <-ctx.Done():
			r.flush()
			return
		}
	}
}

// flush writes the lines still queued, for at most flushTimeout.
func (r *Reporter) flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case l := <-r.lines:
			r.write(l)
		default:
			return
		}
	}
}

func (r *Reporter) write(l line) {
	fields := append([]any{"at", l.at.UTC().Format("15:04:05.000")}, l.fields...)
	r.logger.Log(l.level, l.event, fields...)
}

// Discard is a reporter that drops all lines.
type Discard struct{}

// Event does nothing.
func (Discard) Event(string, ...any) {}

// Notice does nothing.
func (Discard) Notice(string, ...any) {}
