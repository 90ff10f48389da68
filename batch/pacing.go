package batch

import "time"

// Values of the pacing of a job.
const (
	// paceTarget is the time over which the items of a job are started. The longest text of a job takes several seconds and
	// starts first, so that short texts may wait for connections and slots that are in use already.
	paceTarget = 1500 * time.Millisecond
	// minConcurrency keeps small jobs from being paced at all.
	minConcurrency = 24
)

// Concurrency is how many items of a job of total items run at the same time when one takes mean on average.
func Concurrency(total int, mean time.Duration) int {
	need := (time.Duration(total)*mean + paceTarget - 1) / paceTarget
	return max(int(need), minConcurrency)
}
