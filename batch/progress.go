package batch

import "time"

// Progress is the state of one item.
type Progress struct {
	Item  *Item
	Phase Phase
	Text  Text
	// Failures counts failed runs, and ScoreFailures failed score calls.
	Failures, ScoreFailures int
	// Moves counts how often the text has moved to a faster engine.
	Moves int
	// NotBefore is the earliest time of the next attempt, and Avoid the ID of the upstream whose last attempt failed.
	NotBefore time.Time
	Avoid     string
	// groupRank is the rank of the item's group; see Job.rankGroups.
	groupRank int
	// index is the position of the item in the job's content.
	index int
	// priorText describes the item's text in an earlier job, and finalText its text when it finished.
	priorText, finalText TextSummary
	result               Result
	// rate converts events into tokens, and length is the expected length of a text without an estimate by the trainer.
	rate   *TokenRate
	length *TextLength
}

// RemainingTokens estimates the output tokens that are still to be generated. A text that has exceeded its estimate is
// probably one of the few long ones, so the estimate then grows with its length, up to the limit of the item.
func (p *Progress) RemainingTokens() int {
	done := p.rate.Tokens(p.Text.LastEventID())
	remaining := max(p.expectedTokens()-done, done/2)
	if limit := p.Item.outputLimit(); limit > 0 {
		remaining = min(remaining, limit-done)
	}
	return max(remaining, 1)
}

// RemainingEvents estimates the events that are still to be generated.
func (p *Progress) RemainingEvents() int { return p.rate.Events(p.RemainingTokens()) }

// maxTokenBytes bounds the bytes that one token takes in a text: a token is a few characters, which the event encoding
// may multiply.
const maxTokenBytes = 1024

// OverLimit reports whether the text is longer than its item allows, given that an event holds at least one token. Such
// a text would never end.
func (p *Progress) OverLimit() bool {
	limit := p.Item.outputLimit()
	return limit > 0 && (p.Text.LastEventID() > limit || p.Text.bytes > limit*maxTokenBytes)
}

// HeldTokens estimates the tokens that the text occupies in an engine's memory: its prompt and the output so far.
func (p *Progress) HeldTokens() int {
	output := p.Text.LastEventID()
	if p.knowsTokenRate() {
		output = p.rate.Tokens(output)
	}
	return p.Item.PromptTokens + p.Item.withinLimit(output)
}

// GrowthTokens estimates the tokens that the text is still to add in an engine's memory.
func (p *Progress) GrowthTokens() int {
	if p.knowsTokenRate() {
		return p.RemainingTokens()
	}
	return p.RemainingEvents()
}

// knowsTokenRate reports whether a trainer has estimated the tokens of this text or of others of its model. Otherwise
// memory is planned with the least that an event can hold, one token: an engine that runs out of memory preempts a text,
// but a slot that is kept free serves nobody.
func (p *Progress) knowsTokenRate() bool { return p.Item.LengthHint > 0 || p.rate.IsLearned() }

// expectedTokens is the best estimate of the length of the whole output.
func (p *Progress) expectedTokens() int {
	priorTokens := p.rate.Tokens(p.priorText.Events)
	if p.priorText.Complete {
		return priorTokens
	}
	expected := p.Item.ExpectedTokens()
	if expected <= 0 {
		expected = p.length.Tokens(p.rate)
	}
	return p.Item.withinLimit(max(expected, priorTokens+priorTokens/2))
}
