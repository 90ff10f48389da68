package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

// leftover is what an ended job left of its incomplete groups, by item.
type leftover struct {
	left  map[string]batch.TextSummary
	texts map[string]batch.Text
}

// leftover returns what the job has of its incomplete groups. The caller holds the lock.
func (o *ownedJob) leftover() *leftover {
	l := &leftover{left: o.job.Carryover(), texts: map[string]batch.Text{}}
	for id := range l.left {
		p, _ := o.job.Get(id)
		if text := o.job.TextOf(p); text.LastEventID() > 0 {
			l.texts[id] = text
		}
	}
	return l
}

// knownLeftovers joins what earlier jobs left, of which the longer entry for an item counts. ok is false unless this
// process ran all of them to their end.
func knownLeftovers(earlier []*jobEntry) (known leftover, ok bool) {
	known = leftover{left: map[string]batch.TextSummary{}, texts: map[string]batch.Text{}}
	for _, e := range earlier {
		if e.leftover == nil {
			return leftover{}, false
		}
		for id, l := range e.leftover.left {
			if l.Events < known.left[id].Events {
				continue
			}
			known.left[id] = l
			if text, ok := e.leftover.texts[id]; ok {
				known.texts[id] = text
			}
		}
	}
	return known, true
}

// forgetLeftovers drops what jobs left that are too old to be asked for again. The caller holds the lock.
func (g *Gateway) forgetLeftovers(now time.Duration) {
	for _, e := range g.jobs {
		if e.leftover != nil && now-e.record.AcceptedAt > reuseAge {
			e.leftover = nil
		}
	}
}
