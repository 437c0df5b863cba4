// Package explainer traces a request through collected logs: its own lines, those
// of the calls made for it, and the line that best explains its failure.
//
// # Usage
//
//	log := &explainer.Log{}
//	err := log.Read(file) // for each file
//	trace := log.Trace("a74568a279628617")
//	cause, ok := explainer.Cause(trace)
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"

	"quetzalhub/util/set"
)

// maxLineBytes is the length in bytes of the longest line that can be read.
const maxLineBytes = 1 << 20

// Log events of requests, as listed in docs/LOGS.md.
const (
	eventRefused     = "refused"
	eventNotAnswered = "not_answered"
	eventFailed      = "failed"
	eventAnswered    = "answered"
)

// reasonCallerGone is the reason of calls that were cancelled because another call
// of the same request had failed.
const reasonCallerGone = "caller_gone"

// Line is one line of a log.
type Line struct {
	// At is the time of day at the node that wrote the line.
	At    string
	Node  string
	Event string
	// Request is the ID of the request; Parent that of the request that caused it.
	Request string
	Parent  string
	Reason  string
	// Depth is the number of calls between the request traced and this one.
	Depth int
	// Fields holds all fields in the order in which they were written.
	Fields []Field
}

// Field is a key of a log line and its value.
type Field struct{ Name, Value string }

// Log holds the request lines of any number of log files, by request ID.
type Log struct {
	lines map[string][]Line
	// calls maps each request ID to the IDs of the calls made for it.
	calls map[string]set.Set[string]
	// skipped is the number of lines that could not be read.
	skipped int
}

// Read adds the lines of a log. Lines that are not in the format of a node's
// log are skipped and counted.
func (l *Log) Read(r io.Reader) error {
	if l.lines == nil {
		l.lines, l.calls = map[string][]Line{}, map[string]set.Set[string]{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, err := parse(scanner.Bytes())
		if err != nil {
			l.skipped++
			continue
		}
		if line.Request == "" {
			continue
		}
		l.lines[line.Request] = append(l.lines[line.Request], line)
		if line.Parent != "" {
			if l.calls[line.Parent] == nil {
				l.calls[line.Parent] = set.Of[string]()
			}
			l.calls[line.Parent].Add(line.Request)
		}
	}
	return errors.Annotate(scanner.Err(), "reading a log")
}

// Skipped returns the number of lines that could not be read.
func (l *Log) Skipped() int { return l.skipped }

func parse(data []byte) (Line, error) {
	d := logfmt.NewDecoder(bytes.NewReader(data))
	var line Line
	for d.ScanRecord() {
		for d.ScanKeyval() {
			name, value := string(d.Key()), string(d.Value())
			switch name {
			case "at":
				line.At = value
			case "node":
				line.Node = value
			case "msg":
				line.Event = value
			case "request":
				line.Request = value
			case "parent":
				line.Parent = value
			case "reason":
				line.Reason = value
			}
			if value != "" {
				line.Fields = append(line.Fields, Field{name, value})
			}
		}
	}
	return line, d.Err()
}

// Trace returns the lines of a request and of the calls made for it, in the
// order of their timestamps. Clock skew between nodes can affect the order.
func (l *Log) Trace(request string) []Line {
	var trace []Line
	seen := set.Of(request)
	level := []string{request}
	for depth := 0; len(level) > 0; depth++ {
		var next []string
		for _, id := range level {
			for _, line := range l.lines[id] {
				line.Depth = depth
				trace = append(trace, line)
			}
			for call := range l.calls[id] {
				if !seen.Has(call) {
					seen.Add(call)
					next = append(next, call)
				}
			}
		}
		slices.Sort(next)
		level = next
	}
	slices.SortStableFunc(trace, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return trace
}

// Cause returns the line that best explains why a request failed: that of the
// deepest failed call and, at equal depth, the one with the highest rank. It
// returns false if nothing failed.
func Cause(trace []Line) (Line, bool) {
	var best Line
	bestRank := 0
	for _, line := range trace {
		if rank := causeRank(line); rank > 0 && (bestRank == 0 || line.Depth > best.Depth || line.Depth == best.Depth && rank > bestRank) {
			best, bestRank = line, rank
		}
	}
	return best, bestRank > 0
}

// causeRank ranks how directly a line shows the cause of a failure; zero means not at
// all. A line not_answered, written by the node next to the upstream, ranks highest.
func causeRank(l Line) int {
	switch {
	case l.Reason == reasonCallerGone || l.Event == eventAnswered:
		return 0
	case l.Event == eventNotAnswered:
		return 3
	case l.Event == eventRefused:
		return 2
	case l.Event == eventFailed:
		return 1
	}
	return 0
}
