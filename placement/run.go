package placement

import (
	"cmp"
	"slices"
)

// Run is a text at an engine. It grows until it ends.
type Run struct {
	// Held is what the text occupies in the engine's memory now, and Remaining what is still expected, both in tokens.
	Held, Remaining int
}

// peakMemory returns the maximum number of tokens that runs hold at the same time if all grow at the same rate and end
// as expected.
func peakMemory(runs []Run) int {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int { return cmp.Compare(a.Remaining, b.Remaining) })
	held, peak := 0, 0
	for _, r := range sorted {
		held += r.Held
	}
	// The peak is reached at the end of one of the texts, since the sum only falls when a text ends.
	for i, r := range sorted {
		peak = max(peak, held+(len(sorted)-i)*r.Remaining)
		held -= r.Held
	}
	return peak
}
