package main

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// spreadTimeout bounds the wait for other entries after a change; those that miss it pull the change within a second.
const spreadTimeout = 500 * time.Millisecond

// spreadingWriter pushes a written rollout to the entries at once, so that an activation reaches all engines early and
// the next round of the writer sees its own change.
type spreadingWriter struct{ p *process }

// Write implements rolloutmanager.ConfigWriter.
func (w spreadingWriter) Write(
	ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64,
) (revision int64, err error) {
	revision, err = w.p.store.Write(ctx, kind, name, value, expected)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	w.p.syncer.AwaitPropagation(ctx, revision)
	return revision, nil
}
