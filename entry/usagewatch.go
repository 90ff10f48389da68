package entry

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// usageWatchInterval is the time between two looks for agents that died.
const usageWatchInterval = time.Second

// UsageListener is told which agent incarnations report nothing more. *usage.Retainer implements it.
type UsageListener interface {
	Flushed(agent, incarnation string, throughSeq int64)
	Dead(agent, incarnation string)
}

// WatchUsage tells listener which records are durable and which agent incarnations are dead, until ctx ends.
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
