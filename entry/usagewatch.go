package entry

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// usageWatchInterval is how often the agents are checked.
const usageWatchInterval = time.Second

// UsageListener is notified about the usage records of agents. *usage.Retainer implements it.
type UsageListener interface {
	// Flushed is called when the records up to throughSeq are durable.
	Flushed(agent, incarnation string, throughSeq int64)
	// Dead is called when the agent incarnation will report no more records.
	Dead(agent, incarnation string)
}

// WatchUsage notifies listener of durable records and dead agent incarnations until ctx ends.
func (f *Fleet) WatchUsage(ctx context.Context, listener UsageListener) {
	ticker := time.NewTicker(usageWatchInterval)
	defer ticker.Stop()
	last := map[string]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, u := range f.Upstreams(time.Now()) {
			if u.Incarnation == "" {
				continue
			}
			if before, ok := last[u.Name]; ok && before != u.Incarnation {
				listener.Dead(u.Name, before)
			}
			last[u.Name] = u.Incarnation
			if u.Status == membership.Dead {
				listener.Dead(u.Name, u.Incarnation)
				continue
			}
			listener.Flushed(u.Name, u.Incarnation, u.UsageFlushedSeq)
		}
	}
}
