package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// limitContact is the time from which a named limit holds, and limitSpan the span in which requests are counted.
	limitContact = 4 * time.Second
	limitSpan    = 4 * time.Second
	// limitTolerance is how many times as many requests as the platform allows may reach a limited upstream. Processes that
	// are restarted, paused or cut off meanwhile are excused by the platform, but the upstream cannot tell them apart.
	limitTolerance = 2
)

// allowedRequests returns how many requests the platform allows within limitSpan.
func allowedRequests(perSecond float64) int { return int(1.5*perSecond*limitSpan.Seconds()) + 5 }

// limitUpstream makes an upstream name a low limit, and checks that it is kept.
func (s *Soak) limitUpstream(r *rand.Rand) {
	u := s.upstreams.pick(r)
	if !u.limiting.CompareAndSwap(false, true) {
		return
	}
	defer u.limiting.Store(false)
	perSecond := []float64{0.2, 1, 2}[r.IntN(3)]
	u.SetLimit(perSecond)
	defer u.SetLimit(0)
	if !u.runsFor(limitContact) {
		return
	}
	before := u.Arrivals()
	if !u.runsFor(limitSpan) {
		return
	}
	if n := u.Arrivals() - before; n > limitTolerance*allowedRequests(perSecond) {
		s.history.recordViolation("%d requests in %s reached upstream %s, which names a limit of %v a second", n, limitSpan, u.ID, perSecond)
	}
}

// runsFor waits for d and reports whether the upstream runs until then.
func (u *upstream) runsFor(d time.Duration) bool {
	select {
	case <-u.done:
		return false
	case <-time.After(d):
		return true
	}
}
