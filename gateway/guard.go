package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// loopRestartDelay is how long a loop that failed rests before it goes on.
const loopRestartDelay = 100 * time.Millisecond

// recoverPanic runs f. A panic costs what f was doing, with one line, and not the process and all that runs in it.
func (g *Gateway) recoverPanic(operation string, f func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			g.metrics.panics(operation).Inc()
			g.opts.Log.Error().Str("in", operation).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).
				Msg("unexpected failure; what was being done is given up")
		}
	}()
	f()
	return false
}

// runLoop runs a loop until ctx ends, again if it failed.
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
		Reason: upstreamcall.Crossed, Outcome: outcome.MayHaveRun, Err: fmt.Errorf("unexpected failure while the answer was read"),
	}
}
