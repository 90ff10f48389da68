package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// loopRestartDelay is the delay before a loop that panicked is restarted.
const loopRestartDelay = 100 * time.Millisecond

// recoverPanic runs f and recovers a panic, so that it ends only the operation at hand and not the process. The panic
// is logged and counted, and panicked reports it.
func (g *Gateway) recoverPanic(operation string, f func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			g.RecordPanic(operation, cause)
		}
	}()
	f()
	return false
}

// RecordPanic counts and logs a panic whose operation was aborted. It is called while the panic is recovered, for its
// stack.
func (g *Gateway) RecordPanic(operation string, cause any) {
	g.metrics.panics(operation).Inc()
	g.opts.Log.Error().Str("in", operation).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).
		Msg("recovered from a panic; the operation was aborted")
}

// runLoop runs a loop until ctx ends, and restarts it after a panic.
func (g *Gateway) runLoop(ctx context.Context, name string, loop func(context.Context)) {
	for ctx.Err() == nil {
		if g.recoverPanic(name, func() { loop(ctx) }) {
			sleep(ctx, loopRestartDelay)
		}
	}
}

// panicFailure is the failure of a run that ended in a panic.
func panicFailure() *upstreamcall.Failure {
	return &upstreamcall.Failure{
		Reason: upstreamcall.Crossed, Outcome: outcome.MayHaveRun, Err: fmt.Errorf("panic while reading the response"),
	}
}
