package batch

import "math"

const (
	// firstTokenRate is taken for the tokens of an event until texts were seen.
	firstTokenRate = 50
	// minRatedTexts is the number of texts from which the learnt rate counts.
	minRatedTexts = 20
	// ratingWeight is the least weight of the newest text. Estimates of single texts are often off by a factor of two.
	ratingWeight = 0.01
)

// TokenRate learns how many tokens an event of a model holds, from texts whose length was estimated. An estimate is right
// in the middle and often far off, so the average is taken of the logarithm. The zero value is ready to use.
type TokenRate struct {
	log   float64
	texts int
}

// Learn takes a text that is complete.
func (r *TokenRate) Learn(estimatedTokens, events int) {
	if estimatedTokens <= 0 || events <= 0 {
		return
	}
	r.texts++
	r.log += max(1/float64(r.texts), ratingWeight) * (math.Log(float64(estimatedTokens)/float64(events)) - r.log)
}

// Tokens returns the tokens of events.
func (r *TokenRate) Tokens(events int) int { return int(r.perEvent() * float64(events)) }

// Events returns the events that hold tokens, rounded up.
func (r *TokenRate) Events(tokens int) int { return int(math.Ceil(float64(tokens) / r.perEvent())) }

func (r *TokenRate) perEvent() float64 {
	if r == nil || r.texts < minRatedTexts {
		return firstTokenRate
	}
	return math.Exp(r.log)
}
