package batch

import "time"

// Values of the pacing of a job.
const (
	// paceTarget is the time over which the items of a job are started. Short texts may wait for connections that are in use
	// already, but not for long: an estimate may be wrong, and a long text that starts late makes its step late.
	paceTarget = 700 * time.Millisecond
	// minConcurrency keeps small jobs from being paced at all.
	minConcurrency = 24
)

// Concurrency is how many items of a job of total items run at the same time when one takes mean on average.
func Concurrency(total int, mean time.Duration) int {
	need := (time.Duration(total)*mean + paceTarget - 1) / paceTarget
	return max(int(need), minConcurrency)
}
