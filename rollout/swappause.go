package rollout

import "time"

// Pauses between the attempts of a swap that fails.
const (
	// firstSwapPause leaves a swap that failed once within the 5 s in which a version is to be active on all engines.
	firstSwapPause = 250 * time.Millisecond
	maxSwapPause   = 30 * time.Second
)

// SwapRetryDelay returns how long to wait after a swap failed for the given number of times in a row, at least 1. The pauses
// double, and random, from 0 to 1, lengthens each by up to a half, so that engines that failed together do not repeat
// together.
func SwapRetryDelay(failures int, random float64) time.Duration {
	pause := firstSwapPause
	for i := 1; i < failures && pause < maxSwapPause; i++ {
		pause *= 2
	}
	pause = min(pause, maxSwapPause)
	return pause + time.Duration(random*float64(pause)/2)
}
