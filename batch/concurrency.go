package batch

import "slices"

// Values of the pacing of a job.
const (
	// concurrencyFactor is how many times the items of a job would be done while its long texts last: at 2, all are started in half of
	// that time. Short texts may wait for connections that are in use already, but not for long: an estimate may be wrong,
	// and a long text that starts late makes its step late.
	concurrencyFactor = 2
	// longTextQuantile is the part of the items that are shorter than a long text. One estimate that is far too high must not
	// hold back all others.
	longTextQuantile = 0.95
	// minConcurrency keeps small jobs from being paced at all.
	minConcurrency = 24
)

// Concurrency is how many items of the job run at the same time, by the work that is left.
func (j *Job) Concurrency() int {
	var remaining []int
	sum := 0
	for _, p := range j.items {
		if p.Phase < Scoring {
			remaining = append(remaining, p.RemainingTokens())
			sum += p.RemainingTokens()
		}
	}
	if len(remaining) <= minConcurrency {
		return minConcurrency
	}
	slices.Sort(remaining)
	longText := remaining[int(longTextQuantile*float64(len(remaining)-1))]
	return max((concurrencyFactor*sum+longText-1)/longText, minConcurrency)
}
