package main

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// replicationTimeout bounds the wait for other entries after a change; an entry that misses it pulls the change within
// a second.
const replicationTimeout = 500 * time.Millisecond

// replicatingWriter pushes a written rollout to the other entries at once, so that an activation reaches all engines
// early and the writer sees its own change in its next round.
type replicatingWriter struct{ p *process }

// Write implements rolloutmanager.ConfigWriter.
func (w replicatingWriter) Write(
	ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64,
) (revision int64, err error) {
	revision, err = w.p.store.Write(ctx, kind, name, value, expected)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	w.p.syncer.AwaitInForce(ctx, revision)
	return revision, nil
}
