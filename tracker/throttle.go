package tracker

import "sync"

const (
	// retryRatio is the number of extra attempts earned by each call.
	retryRatio = 0.1
	// retryReserve is the largest number of extra attempts saved up.
	retryReserve = 10
)

// Throttle bounds the extra attempts of a node to a share of its calls, so
// that retries never feed an overload.
type Throttle struct {
	mu     sync.Mutex
	tokens float64
}

// NewThrottle returns a throttle with a full reserve.
func NewThrottle() *Throttle { return &Throttle{tokens: retryReserve} }

// RecordRequest counts a call.
func (t *Throttle) RecordRequest(string, string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = min(retryReserve, t.tokens+retryRatio)
}

// AllowRetry uses an extra attempt and tells whether there was one.
func (t *Throttle) AllowRetry(string, string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
