package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

const (
	// scheduleInterval is how often waiting items are looked at when nothing else wakes the scheduler.
	scheduleInterval = 50 * time.Millisecond
)

// scheduleLoop sends waiting items to upstreams until ctx ends.
func (g *Gateway) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.schedulerWake:
		case <-ticker.C:
		}
		g.schedule(time.Now())
	}
}

// schedule starts every waiting item for which there is room.
func (g *Gateway) schedule(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.config == nil {
		return
	}
	candidates := g.waiting(now)
	if len(candidates) == 0 || !g.mayStartItems(now) {
		return
	}
	batch.Order(candidates)
	pass := newSchedulePass(g, now)
	for _, c := range candidates {
		pass.start(c)
	}
}

// waiting returns the items that may start. The caller holds the lock.
func (g *Gateway) waiting(now time.Time) []batch.Candidate {
	var list []batch.Candidate
	for _, e := range g.jobs {
		if e.owned == nil || e.owned.held || e.record.Ended {
			continue
		}
		for _, p := range e.owned.job.Waiting(now) {
			list = append(list, batch.Candidate{Job: e.owned.job, Item: p})
		}
	}
	return list
}
