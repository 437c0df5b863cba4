package tracker

import (
	"context"
	"sync"
)

const (
	// retryRatio is the number of retry tokens added for each call.
	retryRatio = 0.1
	// maxRetryTokens is the largest number of saved retry tokens.
	maxRetryTokens = 10
)

// Throttle limits the retries of a node to a share of its calls with a token
// bucket, so that retries do not amplify an overload.
type Throttle struct {
	mu     sync.Mutex
	tokens float64
}

// NewThrottle returns a throttle with a full bucket.
func NewThrottle() *Throttle { return &Throttle{tokens: maxRetryTokens} }

// RecordRequest counts a call, which adds retry tokens.
func (t *Throttle) RecordRequest(string, string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = min(maxRetryTokens, t.tokens+retryRatio)
}

// AllowRetry consumes the token of one retry. It returns false if there is none.
func (t *Throttle) AllowRetry(context.Context, string, string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
