package batch

import "math"

const (
	// defaultTokenRate is the assumed number of tokens per event until enough texts were observed.
	defaultTokenRate = 50
	// minLearnedTexts is the number of texts from which on the learned rate is used.
	minLearnedTexts = 20
	// minLearnWeight is the minimum weight of the newest text. It is low because estimates of single texts are often
	// off by a factor of two.
	minLearnWeight = 0.01
)

// TokenRate learns how many tokens an event of a model holds, from completed texts with a length estimate. The median
// estimate is right but single ones are often far off, so the average is taken over the logarithm. The zero value is
// ready to use.
type TokenRate struct {
	logRate float64
	texts   int
}

// Learn updates the rate with a completed text.
func (r *TokenRate) Learn(estimatedTokens, events int) {
	if estimatedTokens <= 0 || events <= 0 {
		return
	}
	r.texts++
	r.logRate += max(1/float64(r.texts), minLearnWeight) * (math.Log(float64(estimatedTokens)/float64(events)) - r.logRate)
}

// Tokens returns the estimated number of tokens in a number of events.
func (r *TokenRate) Tokens(events int) int { return int(r.tokensPerEvent() * float64(events)) }

// Events returns the estimated number of events that hold a number of tokens, rounded up.
func (r *TokenRate) Events(tokens int) int {
	return int(math.Ceil(float64(tokens) / r.tokensPerEvent()))
}

// IsLearned reports whether the rate rests on observed texts.
func (r *TokenRate) IsLearned() bool { return r != nil && r.texts >= minLearnedTexts }

func (r *TokenRate) tokensPerEvent() float64 {
	if !r.IsLearned() {
		return defaultTokenRate
	}
	return math.Exp(r.logRate)
}
