package peer

import "time"

// bucket bounds the bytes that are sent each second.
type bucket struct {
	rate float64
	// burst is how much is saved at most.
	burst float64
	left  float64
	at    time.Time
}

// room returns how many bytes may be sent now.
func (b *bucket) room(now time.Time) int {
	if b.at.IsZero() {
		b.left = b.burst
	}
	if now.After(b.at) {
		b.left = min(b.burst, b.left+b.rate*now.Sub(b.at).Seconds())
		b.at = now
	}
	return int(b.left)
}

func (b *bucket) take(bytes int) { b.left -= float64(bytes) }
