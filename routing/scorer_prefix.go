package routing

import "time"

// PrefixScorer subtracts the prefill time that a cached prompt prefix saves.
type PrefixScorer struct {
	BlockTokens            int
	PrefillTokensPerSecond float64
	// Matched holds, by upstream, how many leading prompt blocks of the request are probably cached.
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
