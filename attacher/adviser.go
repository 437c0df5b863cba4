package attacher

import (
	"math/rand/v2"
	"time"

	"quetzalhub/refuser"
	"quetzalhub/schema"
)

const (
	// returnFrom and returnSpread give the time after which a refused caller
	// may come back. An overload lasts longer than a moment, and callers that
	// all came back at once would make another.
	returnFrom   = 250 * time.Millisecond
	returnSpread = 500 * time.Millisecond
	// returnShare is the part of the caller's time that it may spend waiting.
	returnShare = 3
)

// adviser tells refused callers when to come back.
type adviser struct{}

// RetryAfter gives the time to wait for a caller that waits that much longer.
func (adviser) RetryAfter(code refuser.Code, left time.Duration) time.Duration {
	if code.Info().Outcome != schema.Outcome_OUTCOME_NOT_RUN || left <= 0 {
		return 0
	}
	return min(returnFrom+rand.N(returnSpread), left/returnShare)
}
