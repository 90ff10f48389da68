package entry

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// isolationCheckInterval is the time between two looks at the freshness of the keys.
const isolationCheckInterval = 250 * time.Millisecond

// onConfigChange ends the requests whose key or workspace the change took away.
func (e *Entry) onConfigChange(changed []fleetconfig.Object) {
	relevant := false
	for _, object := range changed {
		relevant = relevant || object.Kind == fleetconfig.KindKey || object.Kind == fleetconfig.KindWorkspace
	}
	if !relevant {
		return
	}
	view := e.config.View()
	for _, keyID := range e.keys.keys() {
		if keyValid(view, keyID) {
			continue
		}
		count := e.keys.cancel(keyID, keyWithdrawn(outcome.MayHaveRun))
		e.log.Info().Str("key_id", keyID).Int("requests", count).Msg("key withdrawn, its requests were ended")
	}
}

func keyValid(view *fleetconfig.View, keyID string) bool {
	key, ok := view.Key(keyID)
	if !ok || key.Withdrawn {
		return false
	}
	_, ok = view.Workspace(key.Workspace)
	return ok
}

// watchIsolation ends keyed requests once the entry is cut off: a key may have been withdrawn elsewhere, and this entry
// would not learn of it.
func (e *Entry) watchIsolation(ctx context.Context) {
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if e.config.MayServeKeyed(e.now()) {
			continue
		}
		if count := e.keys.cancelAll(entryIsolated(outcome.MayHaveRun)); count > 0 {
			e.log.Warn().Int("requests", count).Msg("keys cannot be confirmed, keyed requests were ended")
		}
	}
}
