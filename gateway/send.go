package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// maxBufferedAnswer bounds an answer that is kept until it is whole.
const maxBufferedAnswer = 32 << 20

// errAnswerTooLarge is the failure of an answer over maxWholeAnswer, or of the largest one when memory is short.
var errAnswerTooLarge = errors.New("the answer is larger than 32 MiB or than there is memory for")

// sendBuffered sends a request, reads the whole answer and learns from it about the upstream.
func (g *Gateway) sendBuffered(ctx context.Context, req *upstreamcall.Request) sendResult {
	started := time.Now()
	result := sendResult{upstream: req.Upstream}
	result.answer, result.signature, result.failure = g.readBuffered(ctx, req)
	result.took = time.Since(started)
	g.finishSend(req.Upstream, "", result.failure, ctx)
	result.broken = g.recordRun(ctx, req, result.failure, 0)
	if result.failure == nil {
		g.metrics.upstreamTime.UpdateDuration(started)
	}
	return result
}

func (g *Gateway) readBuffered(
	ctx context.Context, req *upstreamcall.Request,
) (*call.Answer, string, *upstreamcall.Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer, err := g.opts.Upstreams.Send(ctx, req)
	if err != nil {
		return nil, "", upstreamcall.AsFailure(err)
	}
	defer answer.Body.Close()
	held := g.opts.Memory.Hold(func() { cancel(errAnswerTooLarge) })
	defer held.Release()
	body, err := io.ReadAll(held.Reader(io.LimitReader(answer.Body, maxBufferedAnswer+1)))
	if len(body) > maxBufferedAnswer || errors.Is(context.Cause(ctx), errAnswerTooLarge) {
		return nil, "", &upstreamcall.Failure{Reason: upstreamcall.Endless, Outcome: outcome.MayHaveRun, Err: errAnswerTooLarge}
	}
	if err != nil {
		return nil, "", &upstreamcall.Failure{Reason: upstreamcall.Broken, Outcome: outcome.MayHaveRun, Err: err}
	}
	if answer.Status < http.StatusMultipleChoices && !answer.Signed {
		return nil, "", &upstreamcall.Failure{
			Reason: upstreamcall.Crossed, Outcome: outcome.MayHaveRun, Err: errors.New("a success without a signature"),
		}
	}
	return &call.Answer{Status: answer.Status, Header: answer.Header, Body: body}, answer.Signature, nil
}

// finishSend takes the end of a send into the judgement of its upstream.
func (g *Gateway) finishSend(u upstreams.Entry, model string, failure *upstreamcall.Failure, ctx context.Context) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(u.ID, now)
	g.detectUpstreamEnd(u, failure)
	h := g.healthOf(u.ID)
	switch {
	case failure == nil:
		if h.Succeed() {
			g.opts.Log.Info().Str("upstream", u.ID).Msg("upstream recovered")
		}
	case failure.Reason == upstreamcall.Cancelled, failure.Reason == upstreamcall.Moved,
		failure.Reason == upstreamcall.Stale:
	case failure.Reason == upstreamcall.Busy:
		h.Busy(model, now.Add(busyTTL))
		h.Succeed()
	case failure.Reason == upstreamcall.Failed, failure.Reason == upstreamcall.Impossible,
		failure.Reason == upstreamcall.OldVersion:
		h.Succeed()
	default:
		if ctx.Err() != nil && failure.Reason != upstreamcall.Silent {
			return // the send was ended from here
		}
		if h.Fail(now) {
			g.opts.Log.Warn().Str("upstream", u.ID).Str("reason", string(failure.Reason)).AnErr("error", failure.Err).
				Msg("upstream suspect")
		}
	}
}

// busyTTL is how long a refusal for lack of room counts; a load of weights refuses for about a second.
const busyTTL = 200 * time.Millisecond
