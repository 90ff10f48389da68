package entry

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// usageWatchInterval is the time between two looks for agents that died.
const usageWatchInterval = time.Second

// UsageKeeper is told which agent incarnations report nothing more. *usage.Retainer implements it.
type UsageKeeper interface {
	Flushed(agent, incarnation string, throughSeq int64)
	Dead(agent, incarnation string)
}

// WatchUsage tells keeper which records are durable and which agent incarnations are dead, until ctx ends.
func (f *Fleet) WatchUsage(ctx context.Context, keeper UsageKeeper) {
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
				keeper.Dead(u.Name, before)
			}
			last[u.Name] = u.Incarnation
			if u.Status == membership.Dead {
				keeper.Dead(u.Name, u.Incarnation)
				continue
			}
			keeper.Flushed(u.Name, u.Incarnation, u.UsageFlushedSeq)
		}
	}
}
