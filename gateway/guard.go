package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// loopPause is how long a loop that failed rests before it goes on.
const loopPause = 100 * time.Millisecond

// guarded runs f. A panic costs what f was doing, with one line, and not the process and all that runs in it.
func (g *Gateway) guarded(what string, f func()) (failed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			failed = true
			g.met.panics(what).Inc()
			g.opts.Log.Error().Str("in", what).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).
				Msg("unexpected failure; what was being done is given up")
		}
	}()
	f()
	return false
}

// keepRunning runs a loop until ctx ends, again if it failed.
func (g *Gateway) keepRunning(ctx context.Context, what string, loop func(context.Context)) {
	for ctx.Err() == nil {
		if g.guarded(what, func() { loop(ctx) }) {
			sleep(ctx, loopPause)
		}
	}
}

// errUnexpected is the failure of a run that ended in a panic.
func errUnexpected() *upstreamcall.Failure {
	return &upstreamcall.Failure{
		Reason: upstreamcall.Crossed, Outcome: outcome.MayHaveRun, Err: fmt.Errorf("unexpected failure while the answer was read"),
	}
}
