package entry

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// isolationCheckInterval is how often the freshness of the keys is checked.
const isolationCheckInterval = 250 * time.Millisecond

// onConfigChange cancels the requests whose key or workspace the change withdrew or removed.
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
		e.log.Info().Str("key_id", keyID).Int("requests", count).Msg("key withdrawn; cancelled its requests")
	}
}

// keyValid reports whether the key exists, is not withdrawn and belongs to an existing workspace.
func keyValid(view *fleetconfig.View, keyID string) bool {
	key, ok := view.Key(keyID)
	if !ok || key.Withdrawn {
		return false
	}
	_, ok = view.Workspace(key.Workspace)
	return ok
}

// watchIsolation cancels keyed requests while the entry cannot confirm its keys: a key may have been withdrawn and an
// isolated entry would not learn of it.
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
			e.log.Warn().Int("requests", count).Msg("keys cannot be confirmed; cancelled keyed requests")
		}
	}
}
