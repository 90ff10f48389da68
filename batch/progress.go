package batch

import "time"

// Progress is the state of one item.
type Progress struct {
	Item  *Item
	Phase Phase
	Text  Text
	// Failures counts answers that count as a failed run, and ScoreFailures those of the score call.
	Failures, ScoreFailures int
	// NotBefore is when the item may be tried again, and Avoid the upstream that let it down last.
	NotBefore time.Time
	Avoid     string
	// groupRank is the index of the item's groupRank in the order of the groups.
	groupRank int
	// index is the item's place in the job's content.
	index int
	// priorText is what is known of the item's text in an priorText job, and finalText what there was of it when it was finished.
	priorText, finalText TextSummary
	result               Result
	// rate converts events into tokens.
	rate *TokenRate
}

// RemainingTokens estimates the output tokens that are still to be generated. A text that has outgrown its estimate is probably
// one of the few long ones, so that the longer it is the more is to come.
func (p *Progress) RemainingTokens() int {
	done := p.rate.Tokens(p.Text.LastEventID())
	return max(p.expectedTokens()-done, done/2, 1)
}

// RemainingEvents estimates the events that are still to be generated.
func (p *Progress) RemainingEvents() int { return p.rate.Events(p.RemainingTokens()) }

// maxTokenBytes bounds the bytes of a token in a text; a token is a few characters, which the encoding of an event may
// multiply.
const maxTokenBytes = 1024

// OverLimit reports whether the text is longer than its item can yield: an event holds one token at least. Such a text does
// not end.
func (p *Progress) OverLimit() bool {
	limit := p.Item.Tokens - p.Item.PromptTokens
	return limit > 0 && (p.Text.LastEventID() > limit || p.Text.bytes > limit*maxTokenBytes)
}

// HeldTokens estimates the tokens that the text holds of an engine's memory: its prompt and what was generated.
func (p *Progress) HeldTokens() int { return p.Item.PromptTokens + p.rate.Tokens(p.Text.LastEventID()) }

// expectedTokens is the best estimate of the whole output.
func (p *Progress) expectedTokens() int {
	priorTokens := p.rate.Tokens(p.priorText.Events)
	if p.priorText.Complete {
		return priorTokens
	}
	return max(p.Item.ExpectedTokens(), priorTokens+priorTokens/2)
}
