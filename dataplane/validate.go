package dataplane

import (
	"math"
	"time"
)

const (
	// maxTokens bounds each figure of a result, so that sums cannot overflow. No answer has a trillion tokens.
	maxTokens = 1 << 40
	// maxRetryAfter bounds the advice of an agent.
	maxRetryAfter = time.Hour
)

func validTokens(n int64) bool { return n >= 0 && n <= maxTokens }

// valid reports whether the figures can be those of an agent. Negative ones would pay a workspace's limit back.
func (r Result) valid() bool {
	for _, span := range r.Spans {
		if !validTokens(int64(span.Tokens)) {
			return false
		}
	}
	return r.UsageSeq >= 0 && validTokens(r.PromptTokens) && validTokens(r.CompletionTokens)
}

// Valid reports whether the figures can be those of an agent. Others would mislead the routing.
func (l Load) Valid() bool {
	return l.Running >= 0 && l.Queued >= 0 && l.Slots >= 0 && validTokens(l.PendingTokens) &&
		l.TokensPerSecond >= 0 && l.TokensPerSecond <= math.MaxFloat32
}
