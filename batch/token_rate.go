package batch

import "math"

const (
	// defaultTokenRate is taken for the tokens of an event until texts were seen.
	defaultTokenRate = 50
	// minLearnedTexts is the number of texts from which the learnt rate counts.
	minLearnedTexts = 20
	// minLearnWeight is the least weight of the newest text. Estimates of single texts are often off by a factor of two.
	minLearnWeight = 0.01
)

// TokenRate learns how many tokens an event of a model holds, from texts whose length was estimated. An estimate is right
// in the middle and often far off, so the average is taken of the logarithm. The zero value is ready to use.
type TokenRate struct {
	logRate float64
	texts   int
}

// Learn takes a text that is complete.
func (r *TokenRate) Learn(estimatedTokens, events int) {
	if estimatedTokens <= 0 || events <= 0 {
		return
	}
	r.texts++
	r.logRate += max(1/float64(r.texts), minLearnWeight) * (math.Log(float64(estimatedTokens)/float64(events)) - r.logRate)
}

// Tokens returns the tokens of events.
func (r *TokenRate) Tokens(events int) int { return int(r.tokensPerEvent() * float64(events)) }

// Events returns the events that hold tokens, rounded up.
func (r *TokenRate) Events(tokens int) int {
	return int(math.Ceil(float64(tokens) / r.tokensPerEvent()))
}

func (r *TokenRate) tokensPerEvent() float64 {
	if r == nil || r.texts < minLearnedTexts {
		return defaultTokenRate
	}
	return math.Exp(r.logRate)
}
