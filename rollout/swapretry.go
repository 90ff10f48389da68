package rollout

import "time"

// Delays between attempts of a failing weight swap.
const (
	// minSwapRetryDelay is short enough for a swap that failed once to finish within the 5 s in which a version has to
	// become active on all engines.
	minSwapRetryDelay = 250 * time.Millisecond
	maxSwapRetryDelay = 30 * time.Second
)

// SwapRetryDelay returns the delay after the given number of consecutive swap failures, at least 1. The delay doubles
// with each failure. random, in [0, 1], adds up to 50% jitter, so that engines that failed together do not retry
// together.
func SwapRetryDelay(failures int, random float64) time.Duration {
	delay := minSwapRetryDelay
	for i := 1; i < failures && delay < maxSwapRetryDelay; i++ {
		delay *= 2
	}
	delay = min(delay, maxSwapRetryDelay)
	return delay + time.Duration(random*float64(delay)/2)
}
