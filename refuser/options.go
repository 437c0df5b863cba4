package refuser

import (
	"strconv"
	"time"
)

// Option changes how a Refuser writes problem documents.
type Option func(*Refuser)

// WithStatus sets the function that returns the HTTP status of a code.
func WithStatus(statusOf func(Code) int) Option {
	return func(r *Refuser) { r.statusOf = statusOf }
}

// WithFractionalRetryAfter writes Retry-After in seconds with three decimals
// instead of whole seconds.
func WithFractionalRetryAfter() Option {
	return func(r *Refuser) {
		r.formatRetryAfter = func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
	}
}
