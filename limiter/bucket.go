package limiter

import "time"

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	// Rate is the refill rate in tokens per second.
	Rate float64
	// Cap is the maximum number of tokens.
	Cap     float64
	Tokens  float64
	Updated time.Time
}

// Refill adds the tokens accrued since the last call.
func (b *Bucket) Refill(now time.Time) {
	if b.Updated.IsZero() {
		b.Updated = now
	}
	if earned := now.Sub(b.Updated).Seconds() * b.Rate; earned > 0 {
		b.Tokens = min(b.Cap, b.Tokens+earned)
	}
	b.Updated = now
}

// TryTake removes one token and reports whether one was available. It does not
// block.
func (b *Bucket) TryTake(now time.Time) bool {
	b.Refill(now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Resize refills the bucket at the old rate, then changes rate and cap. Tokens
// beyond a smaller cap are discarded.
func (b *Bucket) Resize(now time.Time, rate, limit float64) {
	b.Refill(now)
	b.Rate = max(rate, 0)
	b.Cap = max(limit, 0)
	b.Tokens = min(b.Tokens, b.Cap)
}

// Wait returns the time until n tokens are available, or false if the bucket is
// never refilled. It does not block.
func (b *Bucket) Wait(n float64) (time.Duration, bool) {
	missing := n - b.Tokens
	if missing <= 0 {
		return 0, true
	}
	if b.Rate <= 0 {
		return 0, false
	}
	return time.Duration(missing / b.Rate * float64(time.Second)), true
}
