// Package upstreamhealth assesses upstreams by the outcome of real requests: which of them get no requests for a while,
// and how slow the others are. It does no I/O and reads no clock.
//
// A failed upstream gets no requests for a backoff time that doubles with each consecutive failure. After that, one request
// probes it. Each request that begins to get a response allows one more that has none yet, so that the upstream fills up
// again in a few round trips, until a complete response ends the suspicion. Requests that were sent before the failure say
// nothing about new ones and hold none back.
package upstreamhealth

import (
	"math"
	"slices"
	"time"
)

// Parameters of the backoff and of the observed pace.
const (
	// initialBackoff follows the first failure, and maxBackoff limits the doubling, because crashed upstreams are back
	// within seconds.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// failureWindow is the time within which failures count as one, because they come from requests that ran at the
	// same time.
	failureWindow = 100 * time.Millisecond
	// paceTimeConstant is the time constant of the moving average of the pace. An upstream that processes many requests
	// at once is observed hundreds of times a second, so an average over a fixed number of observations would follow
	// every short stall.
	paceTimeConstant = 500 * time.Millisecond
	// maxPaceAge is how long a pace is valid without a new observation. An upstream that got no work for this long may
	// have changed.
	maxPaceAge = 2500 * time.Millisecond
	// maxBusyPause limits the pause after refusals in a row. A load of weights lasts one or two seconds, and its end is seen
	// in the registry as well.
	maxBusyPause = 800 * time.Millisecond
	// latestObservations is the number of observations of which LatestPace is the median, so that one late event does not
	// count.
	latestObservations = 3
	// minObservations is the number of observations from which on a pace is reported.
	minObservations = 3
	// warmUpObservations is the number of observations from which on the weight of a new one depends on the elapsed
	// time only.
	warmUpObservations = 10
)

// Health is the health of one upstream as observed by this process. It is not safe for concurrent use.
type Health struct {
	failures     int
	failedAt     time.Time
	backoffUntil time.Time
	// failureCount numbers the failures that count. unanswered and responding are the attempts since the last one that have
	// no response yet, and those that have begun to get one.
	failureCount           int64
	unanswered, responding int
	// controlAnsweredAt is when the upstream last answered a control call.
	controlAnsweredAt time.Time
	busy              map[string]busyMark
	// pace is the moving average of the time for one unit of work; 0 before the first observation.
	pace         time.Duration
	observedAt   time.Time
	observations int
	// latest holds the last observations in a ring.
	latest [latestObservations]time.Duration
}

// Attempt is a request at an upstream. It is not safe for concurrent use.
type Attempt struct {
	health *Health
	// failure is the number of the upstream's last failure before the attempt, which counts among those since it as long as
	// counted is set.
	failure int64
	counted bool
}

// Begin records that a request is sent to the upstream.
func (h *Health) Begin() *Attempt {
	a := &Attempt{health: h, failure: h.failureCount, counted: h.failures > 0}
	if a.counted {
		h.unanswered++
	}
	return a
}

// Responding records that the upstream has begun to respond to the request.
func (a *Attempt) Responding() {
	if a.end() {
		a.health.responding++
	}
}

// End records that the request has ended, in whatever way.
func (a *Attempt) End() { a.end() }

// end removes the attempt from those without a response. It returns false if it is not one of them.
func (a *Attempt) end() bool {
	counted := a.counted && a.failure == a.health.failureCount && a.health.failures > 0
	a.counted = false
	if counted {
		a.health.unanswered--
	}
	return counted
}

// Allowed reports whether another request may be sent.
func (h *Health) Allowed(now time.Time) bool { return h.Allowance(now) > 0 }

// Allowance returns how many more requests may be sent now; math.MaxInt if there is no limit.
func (h *Health) Allowance(now time.Time) int {
	switch {
	case h.failures == 0:
		return math.MaxInt
	case now.Before(h.backoffUntil):
		return 0
	default:
		return max(0, 1+h.responding-h.unanswered)
	}
}

// Suspect reports whether the last request failed.
func (h *Health) Suspect() bool { return h.failures > 0 }

// AnswersControlCalls reports whether the last request did not fail, or a control call was answered after it: the upstream
// can be reached, although it may process no requests.
func (h *Health) AnswersControlCalls() bool {
	return h.failures == 0 || h.controlAnsweredAt.After(h.failedAt)
}

// RecordControlAnswer records that the upstream answered a control call, such as an order or a status request. It says
// nothing about the requests that it processes.
func (h *Health) RecordControlAnswer(now time.Time) { h.controlAnsweredAt = now }

// RecordFailure records a request that failed for a reason attributed to the upstream. It reports whether the upstream
// was healthy before.
func (h *Health) RecordFailure(now time.Time) bool {
	if h.failures > 0 && now.Sub(h.failedAt) < failureWindow {
		return false
	}
	h.failures++
	h.failureCount++
	h.unanswered, h.responding = 0, 0
	h.failedAt = now
	h.backoffUntil = now.Add(min(initialBackoff<<min(h.failures-1, 8), maxBackoff))
	return h.failures == 1
}

// RecordSuccess records a request that was answered. It reports whether the upstream was suspect before.
func (h *Health) RecordSuccess() bool {
	recovered := h.failures > 0
	h.failures, h.unanswered, h.responding = 0, 0, 0
	return recovered
}

// busyMark says until when the upstream counts as busy, and for how long after its last refusal.
type busyMark struct {
	until time.Time
	pause time.Duration
}

// MarkBusy records that the upstream refuses requests for a model until the given time, for lack of capacity or because
// it loads weights.
func (h *Health) MarkBusy(model string, until time.Time) { h.setBusy(model, busyMark{until: until}) }

// RecordBusy records that the upstream refused a request for a model at now. It counts as busy for a pause, which doubles
// with each refusal that follows such a pause, up to maxBusyPause. Refusals of requests that were sent before the first one
// arrived change nothing.
func (h *Health) RecordBusy(model string, pause time.Duration, now time.Time) {
	b := h.busy[model]
	switch {
	case now.Before(b.until):
		return
	case b.pause > 0 && now.Sub(b.until) < maxBusyPause:
		pause = max(pause, min(2*b.pause, maxBusyPause))
	}
	h.setBusy(model, busyMark{until: now.Add(pause), pause: pause})
}

// ClearBusy records that the upstream may accept requests for a model again.
func (h *Health) ClearBusy(model string) { delete(h.busy, model) }

func (h *Health) setBusy(model string, b busyMark) {
	if h.busy == nil {
		h.busy = map[string]busyMark{}
	}
	h.busy[model] = b
}

// IsBusy reports whether the upstream is marked busy for a model at now.
func (h *Health) IsBusy(model string, now time.Time) bool { return now.Before(h.busy[model].until) }

// ObservePace records the time taken by one unit of work.
func (h *Health) ObservePace(pace time.Duration, now time.Time) {
	elapsed := now.Sub(h.observedAt)
	if elapsed > maxPaceAge {
		h.pace, h.observations = pace, 0
	}
	// The first observations have equal weights, so that the first one does not dominate the average.
	weight := max(1-math.Exp(-float64(elapsed)/float64(paceTimeConstant)), 1/float64(h.observations+1))
	if h.observations >= warmUpObservations {
		weight = 1 - math.Exp(-float64(elapsed)/float64(paceTimeConstant))
	}
	h.pace += time.Duration(weight * float64(pace-h.pace))
	h.observedAt = now
	h.latest[h.observations%latestObservations] = pace
	h.observations++
}

// LatestPace returns the median of the last few observations, which follows a change within a few events; 0 without
// enough recent observations.
func (h *Health) LatestPace(now time.Time) time.Duration {
	if h.Pace(now) == 0 {
		return 0
	}
	sorted := h.latest
	slices.Sort(sorted[:])
	return sorted[len(sorted)/2]
}

// Pace returns the moving average of the time for one unit of work; 0 without enough recent observations.
func (h *Health) Pace(now time.Time) time.Duration {
	if h.observations < minObservations || now.Sub(h.observedAt) > maxPaceAge {
		return 0
	}
	return h.pace
}

// PaceAge returns the time since the pace was last observed.
func (h *Health) PaceAge(now time.Time) time.Duration { return now.Sub(h.observedAt) }

// LastPace returns the moving average as of the last observation, regardless of its age; 0 without enough observations.
func (h *Health) LastPace() time.Duration {
	if h.observations < minObservations {
		return 0
	}
	return h.pace
}
