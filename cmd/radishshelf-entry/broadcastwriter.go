package main

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// broadcastWait bounds the wait for other entries after a change; those that miss it pull the change within a second.
const broadcastWait = 500 * time.Millisecond

// broadcastWriter pushes a written rollout to the entries at once, so that an activation reaches all engines early and
// the next round of the writer sees its own change.
type broadcastWriter struct{ p *process }

// Write implements rolloutmanager.ConfigWriter.
func (w broadcastWriter) Write(
	ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64,
) (revision int64, err error) {
	revision, err = w.p.store.Write(ctx, kind, name, value, expected)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, broadcastWait)
	defer cancel()
	w.p.syncer.AwaitPropagation(ctx, revision)
	return revision, nil
}
