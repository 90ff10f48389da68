package dataplane

import (
	"math"
	"time"
)

const (
	// maxTokens bounds each token count of a result, so that sums cannot overflow. No response has a trillion tokens.
	maxTokens = 1 << 40
	// maxRetryAfter bounds the Retry-After value of an agent.
	maxRetryAfter = time.Hour
)

func validTokens(n int64) bool { return n >= 0 && n <= maxTokens }

// valid reports whether the values are possible. Negative token counts would credit the workspace's quota.
func (r Result) valid() bool {
	for _, span := range r.Spans {
		if !validTokens(int64(span.Tokens)) {
			return false
		}
	}
	return r.UsageSeq >= 0 && validTokens(r.PromptTokens) && validTokens(r.CompletionTokens)
}

// Valid reports whether the values are possible. Impossible ones would mislead routing.
func (l Load) Valid() bool {
	return l.Running >= 0 && l.Queued >= 0 && l.Slots >= 0 && validTokens(l.PendingTokens) &&
		l.TokensPerSecond >= 0 && l.TokensPerSecond <= math.MaxFloat32
}
