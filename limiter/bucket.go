package limiter

import "time"

// Bucket is a token bucket. Its owner guards it against concurrent use.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Cap is the largest number of tokens.
	Cap     float64
	Tokens  float64
	Updated time.Time
}

// Refill adds the tokens earned since the last call.
func (b *Bucket) Refill(now time.Time) {
	if b.Updated.IsZero() {
		b.Updated = now
	}
	if earned := now.Sub(b.Updated).Seconds() * b.Rate; earned > 0 {
		b.Tokens = min(b.Cap, b.Tokens+earned)
	}
	b.Updated = now
}

// TryTake removes one token if there is one.
func (b *Bucket) TryTake(now time.Time) bool {
	b.Refill(now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Resize changes rate and cap after the tokens earned so far were added. A
// smaller cap discards tokens.
func (b *Bucket) Resize(now time.Time, rate, limit float64) {
	b.Refill(now)
	b.Rate = max(rate, 0)
	b.Cap = max(limit, 0)
	b.Tokens = min(b.Tokens, b.Cap)
}

// Wait returns the time until n tokens are there, and false if they never are.
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
