package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

const (
	// scheduleInterval is the time between two scheduling passes when nothing else wakes the scheduler.
	scheduleInterval = 50 * time.Millisecond
)

// scheduleLoop starts waiting items until ctx ends.
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
	candidates := g.startableItems(now)
	g.itemsWaiting, g.itemsHeldBack, g.suspectedSlow = nil, nil, 0
	if len(candidates) == 0 || !g.mayStartItems(now) {
		return
	}
	batch.SortCandidates(candidates)
	pass := newSchedulePass(g, now)
	for _, c := range candidates {
		pass.start(c)
	}
	g.itemsWaiting, g.itemsHeldBack, g.suspectedSlow = pass.waitingByEngine(), pass.heldBack, pass.suspectedSlow()
}

// startableItems returns the items that may start now. The caller holds g.mu.
func (g *Gateway) startableItems(now time.Time) []batch.Candidate {
	var list []batch.Candidate
	for _, e := range g.jobs {
		if e.owned == nil || e.owned.awaitingCarryover || e.record.Ended {
			continue
		}
		for _, p := range e.owned.job.Waiting(now) {
			list = append(list, batch.Candidate{Job: e.owned.job, Item: p})
		}
	}
	return list
}
