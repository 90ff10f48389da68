package batch

import "slices"

// Parameters of the concurrency limit of a job.
const (
	// concurrencyFactor is how many times all items of a job could complete in the time of one long text: at 2, all
	// have started after half of that time. Short texts may wait for a connection in use, but not for long: length
	// estimates may be wrong, and a long text that starts late delays its step.
	concurrencyFactor = 2
	// longTextQuantile is the quantile of the remaining lengths that counts as a long text. It is below 1 so that a
	// single estimate that is far too high does not hold back all other items.
	longTextQuantile = 0.95
	// minConcurrency exempts small jobs from the limit.
	minConcurrency = 24
)

// Concurrency returns how many items of the job may run at the same time, given the remaining work.
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
