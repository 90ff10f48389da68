package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/textmove"
)

// observeEvent learns from the arrival of an event: the restart time from the first one of a run, which says nothing about
// the pace of the upstream, and the pace from the others. The caller holds g.mu.
func (g *Gateway) observeEvent(run *itemRun, now time.Time) {
	u := run.upstream
	switch {
	case run.firstEvent.IsZero():
		run.firstEvent = now
		run.attempt.Responding()
		g.restartTimeOf(u.Service).Observe(now.Sub(run.started))
		g.metrics.runStart.Update(now.Sub(run.started).Seconds())
	case now.Sub(run.lastEvent) < maxPaceGap:
		g.healthOf(u.ID).ObservePace(now.Sub(run.lastEvent), now)
	}
	run.lastEvent = now
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
