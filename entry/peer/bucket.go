package peer

import "time"

// tokenBucket limits the bytes sent per second. It is not safe for concurrent use.
type tokenBucket struct {
	rate float64
	// burst is the maximum number of unused bytes that accumulate.
	burst     float64
	tokens    float64
	updatedAt time.Time
}

// available returns the number of bytes that may be sent now.
func (b *tokenBucket) available(now time.Time) int {
	if b.updatedAt.IsZero() {
		b.tokens = b.burst
	}
	if now.After(b.updatedAt) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
		b.updatedAt = now
	}
	return int(b.tokens)
}

func (b *tokenBucket) spend(bytes int) { b.tokens -= float64(bytes) }
