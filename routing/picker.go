package routing

import (
	"math/rand"
	"slices"
)

// Picker draws the candidates that are scored. Comparing a few random candidates instead of all keeps many entries
// with the same stale view from choosing the same upstream.
type Picker struct {
	Rand          *rand.Rand
	NearSamples   int
	AnySamples    int
	PrefixSamples int
}

// Sample returns distinct candidates: some of the nearest, some of those with the longest prefix, and some of all. It
// reorders the slices.
func (p Picker) Sample(kept, near, prefix []*Candidate) []*Candidate {
	sampled := p.draw(nil, near, p.NearSamples)
	sampled = p.draw(sampled, prefix, p.PrefixSamples)
	return p.draw(sampled, kept, p.AnySamples)
}

// draw adds up to n candidates of pool that are not sampled yet.
func (p Picker) draw(sampled, pool []*Candidate, n int) []*Candidate {
	remaining := slices.DeleteFunc(pool, func(c *Candidate) bool { return slices.Contains(sampled, c) })
	for i := range min(n, len(remaining)) {
		j := i + p.Rand.Intn(len(remaining)-i)
		remaining[i], remaining[j] = remaining[j], remaining[i]
		sampled = append(sampled, remaining[i])
	}
	return sampled
}
