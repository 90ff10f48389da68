package batch

const (
	// defaultTextTokens is the assumed length of a text without an estimate until enough texts were observed. It is
	// rather short: a text that exceeds its estimate is given a longer one while it grows, but an estimate that is too
	// long keeps memory of an engine until the text ends.
	defaultTextTokens = 500
	// minLengthWeight is the minimum weight of the newest text.
	minLengthWeight = 0.01
)

// TextLength learns how long the texts of a model are, from complete texts. It is the estimate for items whose trainer
// gives none: the limit of an item is no estimate, since trainers set it far above the usual length so that no text is
// cut. The zero value is ready to use.
type TextLength struct {
	events float64
	texts  int
}

// Learn updates the length with a complete text.
func (l *TextLength) Learn(events int) {
	if events <= 0 {
		return
	}
	l.texts++
	l.events += max(1/float64(l.texts), minLengthWeight) * (float64(events) - l.events)
}

// Tokens returns the expected length in tokens.
func (l *TextLength) Tokens(rate *TokenRate) int {
	if l == nil || l.texts < minLearnedTexts {
		return defaultTextTokens
	}
	return int(rate.tokensPerEvent() * l.events)
}
