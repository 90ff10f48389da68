package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

// carryover is the progress in the incomplete groups of an ended job, by item ID.
type carryover struct {
	summaries map[string]batch.TextSummary
	texts     map[string]batch.Text
}

// carryover returns the job's progress in its incomplete groups. The caller holds g.mu.
func (o *ownedJob) carryover() *carryover {
	c := &carryover{summaries: o.job.Carryover(), texts: map[string]batch.Text{}}
	for id := range c.summaries {
		p, _ := o.job.Get(id)
		if text := o.job.TextOf(p); text.LastEventID() > 0 {
			c.texts[id] = text
		}
	}
	return c
}

// mergeCarryovers merges the carryover of earlier jobs; for each item the longer entry wins. ok is false unless this
// process ran all of the jobs to their end.
func mergeCarryovers(earlier []*jobEntry) (known carryover, ok bool) {
	known = carryover{summaries: map[string]batch.TextSummary{}, texts: map[string]batch.Text{}}
	for _, e := range earlier {
		if e.carryover == nil {
			return carryover{}, false
		}
		for id, summary := range e.carryover.summaries {
			if summary.Events < known.summaries[id].Events {
				continue
			}
			known.summaries[id] = summary
			if text, ok := e.carryover.texts[id]; ok {
				known.texts[id] = text
			}
		}
	}
	return known, true
}

// dropOldCarryovers drops the carryover of jobs that are too old to be reused. The caller holds g.mu.
func (g *Gateway) dropOldCarryovers(now time.Duration) {
	for _, e := range g.jobs {
		if e.carryover != nil && now-e.record.AcceptedAt > maxReuseAge {
			e.carryover = nil
		}
	}
}
