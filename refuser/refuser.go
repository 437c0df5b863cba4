// Package refuser writes refusals as RFC 9457 problem documents and counts
// them by result code.
//
// # Usage
//
//	r := refuser.New(counters)
//	r.Refuse(w, refuser.RateExceeded, refuser.Detail{Request: id, RetryAfter: time.Second})
//
// Every document carries the numeric result code and whether the request ran:
// "not run", "answered" or "unknown". A caller can safely retry a request only if
// it did not run or if its route is idempotent.
package refuser

import (
	"encoding/json"
	"errors"
	"expvar"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quetzalhub/schema"
)

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// Detail holds the details of a single refusal.
type Detail struct {
	// Request identifies the refused request.
	Request string
	// Note is a sentence about this refusal; it may be empty.
	Note string
	// RetryAfter is the time after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
}

// Problem is the document sent to a caller.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Code    Code   `json:"code"`
	Outcome string `json:"outcome"`
	Request string `json:"request,omitempty"`
}

// Error is a refusal that is returned as an error until a handler writes it.
type Error struct {
	Code   Code
	Detail Detail
}

// Error returns the title of the code and the note.
func (e *Error) Error() string {
	title := e.Code.Info().Title
	if e.Detail.Note == "" {
		return title
	}
	return title + " " + e.Detail.Note
}

// CodeOf returns the code carried by an error, or None.
func CodeOf(err error) Code {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return None
}

// Refuser writes and counts refusals.
type Refuser struct {
	counters         *expvar.Map
	statusOf         func(Code) int
	formatRetryAfter func(time.Duration) string

	mu      sync.Mutex
	history [historySize]Refusal
	next    int
}

// historySize is the number of recent refusals kept for FindRefusals.
const historySize = 2048

// Refusal is a refusal that was sent.
type Refusal struct {
	Request string
	Code    Code
	Note    string
	At      time.Time
}

// New returns a Refuser that counts refusals by result code in the given map.
func New(counters *expvar.Map, opts ...Option) *Refuser {
	for _, m := range codeInfos {
		counters.Add(m.Name, 0)
	}
	r := &Refuser{
		counters:         counters,
		statusOf:         func(c Code) int { return c.Info().Status },
		formatRetryAfter: func(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) },
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Refuse counts the code and writes its problem document.
func (r *Refuser) Refuse(w http.ResponseWriter, code Code, d Detail) {
	m := code.Info()
	r.counters.Add(m.Name, 1)
	r.record(Refusal{d.Request, code, d.Note, time.Now()})
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	if d.RetryAfter > 0 {
		h.Set("Retry-After", r.formatRetryAfter(d.RetryAfter))
	}
	status := r.statusOf(code)
	w.WriteHeader(status)
	problem := Problem{
		Type:    "urn:quetzalhub:code:" + strconv.Itoa(int(code)),
		Title:   m.Title,
		Status:  status,
		Detail:  d.Note,
		Code:    code,
		Outcome: OutcomeName(m.Outcome),
		Request: d.Request,
	}
	_ = json.NewEncoder(w).Encode(problem)
}

func (r *Refuser) record(refusal Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history[r.next] = refusal
	r.next = (r.next + 1) % historySize
}

// FindRefusals returns the recent refusals of a request, oldest first.
func (r *Refuser) FindRefusals(request string) []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Refusal
	for i := range historySize {
		if refusal := r.history[(r.next+i)%historySize]; refusal.Request == request && request != "" {
			found = append(found, refusal)
		}
	}
	return found
}

// OutcomeName returns the name of an outcome in problem documents.
func OutcomeName(o schema.Outcome) string {
	switch o {
	case schema.Outcome_OUTCOME_NOT_RUN:
		return "not run"
	case schema.Outcome_OUTCOME_ANSWERED:
		return "answered"
	default:
		return "unknown"
	}
}
