package placement

import (
	"cmp"
	"slices"
)

// Run is a text at an engine. A running text grows until it ends.
type Run struct {
	// Held is what it holds of the engine's memory now, and Remaining what is expected to come, both in tokens.
	Held, Remaining int
}

// peakMemory returns the most tokens that runs will hold at the same time if they grow alike and end as expected.
func peakMemory(runs []Run) int {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int { return cmp.Compare(a.Remaining, b.Remaining) })
	held, peak := 0, 0
	for _, r := range sorted {
		held += r.Held
	}
	// The peak lies at the end of one of the texts: only there the sum stops to grow.
	for i, r := range sorted {
		peak = max(peak, held+(len(sorted)-i)*r.Remaining)
		held -= r.Held
	}
	return peak
}
