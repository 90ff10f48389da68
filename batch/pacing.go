package batch

import "slices"

// Values of the pacing of a job.
const (
	// startLanes is how many times the items of a job would be done while its long texts last: at 2, all are started in half of
	// that time. Short texts may wait for connections that are in use already, but not for long: an estimate may be wrong,
	// and a long text that starts late makes its step late.
	startLanes = 2
	// longShare is the part of the items that are shorter than a long text. One estimate that is far too high must not
	// hold back all others.
	longShare = 0.95
	// minConcurrency keeps small jobs from being paced at all.
	minConcurrency = 24
)

// Concurrency is how many items of the job run at the same time, by the work that is left.
func (j *Job) Concurrency() int {
	var left []int
	sum := 0
	for _, p := range j.items {
		if p.Phase < Scoring {
			left = append(left, p.RemainingTokens())
			sum += p.RemainingTokens()
		}
	}
	if len(left) <= minConcurrency {
		return minConcurrency
	}
	slices.Sort(left)
	long := left[int(longShare*float64(len(left)-1))]
	return max((startLanes*sum+long-1)/long, minConcurrency)
}
