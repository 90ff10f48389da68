package routing

import "time"

// PrefixScorer credits the prefill that a cached prompt prefix saves.
type PrefixScorer struct {
	BlockTokens            int
	PrefillTokensPerSecond float64
	// Matched holds the leading blocks that each upstream probably holds, for the request being routed.
	Matched map[string]int
}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Cost implements Scorer.
func (s PrefixScorer) Cost(_ *Request, c *Candidate, _ time.Time) float64 {
	tokens := s.Matched[c.Name] * s.BlockTokens
	if tokens == 0 || s.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return -float64(tokens) / s.PrefillTokensPerSecond
}
