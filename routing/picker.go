package routing

import (
	"math/rand"
	"slices"
)

// Picker draws the candidates to score. Comparing a few random candidates instead of all of them keeps many entries
// with the same stale view from choosing the same upstream.
type Picker struct {
	Rand          *rand.Rand
	NearSamples   int
	AnySamples    int
	PrefixSamples int
}

// Sample returns distinct candidates: some of the nearest, some of those with the longest prefix match, and some of
// all. It modifies the slices.
func (p Picker) Sample(kept, near, prefix []*Candidate) []*Candidate {
	sampled := p.draw(nil, near, p.NearSamples)
	sampled = p.draw(sampled, prefix, p.PrefixSamples)
	return p.draw(sampled, kept, p.AnySamples)
}

// draw adds up to n random candidates from pool that are not yet in sampled.
func (p Picker) draw(sampled, pool []*Candidate, n int) []*Candidate {
	remaining := slices.DeleteFunc(pool, func(c *Candidate) bool { return slices.Contains(sampled, c) })
	for i := range min(n, len(remaining)) {
		j := i + p.Rand.Intn(len(remaining)-i)
		remaining[i], remaining[j] = remaining[j], remaining[i]
		sampled = append(sampled, remaining[i])
	}
	return sampled
}
