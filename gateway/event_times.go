package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/textmove"
	"github.com/radishshelf/radishshelf/upstreams"
)

// eventTimes holds when a run started and when its last event arrived; zero before the first one.
type eventTimes struct {
	started, last time.Time
}

// observeEvent learns from the arrival of an event: the restart time from the first one of a run, which says nothing about
// the pace of the upstream, and the pace from the others. The caller holds g.mu.
func (g *Gateway) observeEvent(u upstreams.Entry, times *eventTimes, now time.Time) {
	switch {
	case times.last.IsZero():
		g.restartTimeOf(u.Service).Observe(now.Sub(times.started))
		g.metrics.runStart.Update(now.Sub(times.started).Seconds())
	case now.Sub(times.last) < maxPaceGap:
		g.healthOf(u.ID).ObservePace(now.Sub(times.last), now)
	}
	times.last = now
}

// restartTimeOf returns the restart time of texts at a service. The caller holds g.mu.
func (g *Gateway) restartTimeOf(service string) *textmove.RestartTime {
	r, ok := g.restartTimes[service]
	if !ok {
		r = &textmove.RestartTime{}
		g.restartTimes[service] = r
	}
	return r
}
