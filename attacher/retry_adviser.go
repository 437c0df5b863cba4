package attacher

import (
	"math/rand/v2"
	"time"

	"quetzalhub/refuser"
	"quetzalhub/schema"
)

const (
	// minRetryAfter is the shortest wait before a refused caller may retry;
	// retryAfterJitter bounds the random time added to it. An overload lasts
	// some time, and callers that all retried at once would cause another.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterJitter = 500 * time.Millisecond
	// remainingDivisor limits the wait to one third of the time that remains until
	// the caller's deadline.
	remainingDivisor = 3
)

// retryAdviser computes the Retry-After time of refusals.
type retryAdviser struct{}

// RetryAfter returns how long a refused caller with the given remaining time
// should wait before it retries. It returns zero if the call may have run or no
// time remains.
func (retryAdviser) RetryAfter(code refuser.Code, remaining time.Duration) time.Duration {
	if code.Info().Outcome != schema.Outcome_OUTCOME_NOT_RUN || remaining <= 0 {
		return 0
	}
	if code == refuser.CallsRejected {
		// Rejections last longer than an overload, and a caller comes back only once.
		longest := remaining / remainingDivisor
		return longest/2 + rand.N(longest/2+1)
	}
	return min(minRetryAfter+rand.N(retryAfterJitter), remaining/remainingDivisor)
}
