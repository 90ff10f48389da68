package rollout

import "time"

// Pauses between the attempts of a swap that fails.
const (
	// minSwapRetryDelay leaves a swap that failed once within the 5 s in which a version is to be active on all engines.
	minSwapRetryDelay = 250 * time.Millisecond
	maxSwapRetryDelay = 30 * time.Second
)

// SwapRetryDelay returns how long to wait after a swap failed for the given number of times in a row, at least 1. The pauses
// double, and random, from 0 to 1, lengthens each by up to a half, so that engines that failed together do not repeat
// together.
func SwapRetryDelay(failures int, random float64) time.Duration {
	delay := minSwapRetryDelay
	for i := 1; i < failures && delay < maxSwapRetryDelay; i++ {
		delay *= 2
	}
	delay = min(delay, maxSwapRetryDelay)
	return delay + time.Duration(random*float64(delay)/2)
}
