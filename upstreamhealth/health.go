// Package upstreamhealth judges upstreams by the answers to real requests: which ones get none for a while, and how slow
// the others are. It is pure code.
//
// A failed upstream is left alone for a time that doubles with each failure in a row; then one request at a time tries it
// until one succeeds.
package upstreamhealth

import (
	"math"
	"time"
)

// Times for which an upstream is left alone.
const (
	// initialBackoff follows the first failure, and maxPause bounds the doubling: crashed upstreams are back within seconds.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// failureWindow is the time within which failures of requests that ran together count as one.
	failureWindow = 100 * time.Millisecond
	// paceTimeConstant is the time constant of the moving average of the pace. An upstream that works on many requests at once is
	// observed hundreds of times a second, so that an average over a number of observations would follow every hiccup.
	paceTimeConstant = 500 * time.Millisecond
	// maxPaceAge is how long a pace counts without a new observation. A slow upstream that got no work for so long is
	// tried again, because it may have recovered.
	maxPaceAge = 2500 * time.Millisecond
	// minObservations is the number of observations from which a pace counts.
	minObservations = 3
	// warmUpObservations is the number of observations from which the average moves with time alone.
	warmUpObservations = 10
)

// Health is the judgement of one upstream.
type Health struct {
	failures     int
	failedAt     time.Time
	backoffUntil time.Time
	busyUntil    map[string]time.Time
	// pace is the moving average of the time for one unit of work; 0 before the first observation.
	pace         time.Duration
	observedAt   time.Time
	observations int
}

// Allowed reports whether a request may be sent while inFlight others of this process run there.
func (h *Health) Allowed(now time.Time, inFlight int) bool {
	if h.failures == 0 {
		return true
	}
	return !now.Before(h.backoffUntil) && inFlight == 0
}

// Suspect reports whether the last requests failed.
func (h *Health) Suspect() bool { return h.failures > 0 }

// RecordFailure takes a request that failed for a reason that speaks against the upstream. It reports whether the upstream was
// sound before.
func (h *Health) RecordFailure(now time.Time) bool {
	if h.failures > 0 && now.Sub(h.failedAt) < failureWindow {
		return false
	}
	h.failures++
	h.failedAt = now
	h.backoffUntil = now.Add(min(initialBackoff<<min(h.failures-1, 8), maxBackoff))
	return h.failures == 1
}

// RecordSuccess takes a request that was answered. It reports whether the upstream was suspect before.
func (h *Health) RecordSuccess() bool {
	recovered := h.failures > 0
	h.failures = 0
	return recovered
}

// MarkBusy takes a refusal for lack of room or because weights of a model are loaded.
func (h *Health) MarkBusy(model string, until time.Time) {
	if h.busyUntil == nil {
		h.busyUntil = map[string]time.Time{}
	}
	h.busyUntil[model] = until
}

// IsBusy reports whether a refusal still counts.
func (h *Health) IsBusy(model string, now time.Time) bool { return now.Before(h.busyUntil[model]) }

// ObservePace takes the time that one unit of work took.
func (h *Health) ObservePace(pace time.Duration, now time.Time) {
	elapsed := now.Sub(h.observedAt)
	if elapsed > maxPaceAge {
		h.pace, h.observations = pace, 0
	}
	// The first observations count alike, so that the average does not hang on the first one.
	weight := max(1-math.Exp(-float64(elapsed)/float64(paceTimeConstant)), 1/float64(h.observations+1))
	if h.observations >= warmUpObservations {
		weight = 1 - math.Exp(-float64(elapsed)/float64(paceTimeConstant))
	}
	h.pace += time.Duration(weight * float64(pace-h.pace))
	h.observedAt = now
	h.observations++
}

// Pace returns the moving average of the time for one unit of work; 0 when nothing was observed lately.
func (h *Health) Pace(now time.Time) time.Duration {
	if h.observations < minObservations || now.Sub(h.observedAt) > maxPaceAge {
		return 0
	}
	return h.pace
}

// LastPace returns the moving average as of the last observation, however old; 0 when too little was ever observed.
func (h *Health) LastPace() time.Duration {
	if h.observations < minObservations {
		return 0
	}
	return h.pace
}
