package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/membudget"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreamhealth"
	"github.com/radishshelf/radishshelf/upstreams"
)

// maxBufferedResponse limits the size of a response that is buffered until it is complete.
const maxBufferedResponse = 32 << 20

// smallResponse is the size up to which a response does not count against the memory budget after it was read. The sockets'
// buffers take it at once, however slowly its caller reads.
const smallResponse = 64 << 10

// errResponseTooLarge is the error of a response that exceeds maxBufferedResponse, or that was dropped as the largest
// one when memory ran short.
var errResponseTooLarge = errors.New("the response exceeds 32 MiB or the available memory")

// sendBuffered sends a request, reads the complete response and updates the health of the upstream from the result. The
// body of the response is in use until inUse ends. Requests of one kind, such as those of a route, are expected to take
// equally long.
func (g *Gateway) sendBuffered(
	ctx, inUse context.Context, req *upstreamcall.Request, attempt *upstreamhealth.Attempt, kind string,
) sendResult {
	started := time.Now()
	result := sendResult{upstream: req.Upstream}
	if g.recoverPanic("send", func() {
		result.response, result.signature, result.failure = g.readBuffered(ctx, inUse, req)
	}) {
		result.failure = panicFailure()
	}
	result.took = time.Since(started)
	g.finishSend(reservedSlot{upstream: req.Upstream, attempt: attempt}, "", result.failure, ctx)
	g.recordResponseTime(kind, result)
	result.broken = g.recordRun(ctx, req, result.failure, 0)
	if result.failure == nil {
		g.metrics.upstreamTime.UpdateDuration(started)
	}
	return result
}

// recordResponseTime records the time of a send that was answered, or that this process gave up. An error is no measure: an
// upstream that fails at once would look fast and get more requests.
func (g *Gateway) recordResponseTime(kind string, r sendResult) {
	if r.failure != nil && r.failure.Reason != upstreamcall.Cancelled ||
		r.failure == nil && r.response.Status >= http.StatusBadRequest {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	times, distance, now := g.loadOf(r.upstream.Service).times, g.distanceTo(r.upstream), time.Now()
	if r.failure == nil {
		times.Observe(kind, r.upstream.ID, distance, r.took, now)
		return
	}
	times.ObserveUnfinished(kind, r.upstream.ID, distance, r.took, now)
}

// readBuffered sends a request and reads the complete response, and returns it with its signature if it is a success.
func (g *Gateway) readBuffered(
	ctx, inUse context.Context, req *upstreamcall.Request,
) (*call.Response, string, *upstreamcall.Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	response, err := g.opts.Upstreams.Send(ctx, req)
	if err != nil {
		return nil, "", upstreamcall.AsFailure(err)
	}
	defer response.Body.Close()
	reservation := g.opts.Memory.NewReservation(func() { cancel(errResponseTooLarge) })
	kept := false
	defer func() {
		if !kept {
			reservation.Release()
		}
	}()
	body, failure := readBody(ctx, response, reservation)
	if failure == nil {
		failure = checkSigned(response)
	}
	if failure == nil && len(body) > smallResponse && reservation.Keep() {
		kept = true
		context.AfterFunc(inUse, reservation.Release)
	}
	if failure != nil {
		return nil, "", failure
	}
	signature := ""
	if response.Succeeded() {
		signature = response.Signature
	}
	return &call.Response{Status: response.Status, Header: response.Header, Body: body}, signature, nil
}

// readBody reads the body of a response up to maxBufferedResponse. ctx is cancelled with errResponseTooLarge if the
// reservation is shed.
func readBody(
	ctx context.Context, response *upstreamcall.Response, reservation *membudget.Reservation,
) ([]byte, *upstreamcall.Failure) {
	body, err := reservation.ReadBody(response.Body, response.Length, maxBufferedResponse)
	switch {
	case errors.Is(err, membudget.ErrTooLarge), errors.Is(err, membudget.ErrShed),
		err != nil && errors.Is(context.Cause(ctx), errResponseTooLarge):
		return nil, &upstreamcall.Failure{Reason: upstreamcall.Endless, Outcome: outcome.MayHaveRun, Err: errResponseTooLarge}
	case err != nil:
		return nil, &upstreamcall.Failure{Reason: upstreamcall.Broken, Outcome: outcome.MayHaveRun, Err: err}
	}
	return body, nil
}

// finishSend counts the end of a send and updates the health of its upstream from the result. A nil failure means
// success.
func (g *Gateway) finishSend(s reservedSlot, model string, failure *upstreamcall.Failure, ctx context.Context) {
	now, u := time.Now(), s.upstream
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(s, now)
	defer g.wakeLimitQueue(u.Service, now)
	g.detectUpstreamEnd(u, failure)
	h := g.healthOf(u.ID)
	switch {
	case failure == nil:
		h.ClearBusy(model)
		if h.RecordSuccess() {
			g.opts.Log.Info().Str("upstream", u.ID).Msg("upstream recovered")
		}
	case failure.Reason == upstreamcall.Cancelled, failure.Reason == upstreamcall.Moved,
		failure.Reason == upstreamcall.Stale:
	case failure.Reason == upstreamcall.Busy:
		g.metrics.busyUpstreams.Inc()
		g.recordBusy(u, model, now)
		h.RecordSuccess()
	case failure.Reason == upstreamcall.Failed, failure.Reason == upstreamcall.Impossible,
		failure.Reason == upstreamcall.OldVersion:
		h.RecordSuccess()
	default:
		if ctx.Err() != nil && failure.Reason != upstreamcall.Silent {
			return // this process cancelled the send
		}
		if h.RecordFailure(now) {
			g.opts.Log.Warn().Str("upstream", u.ID).Str("reason", string(failure.Reason)).AnErr("error", failure.Err).
				Msg("upstream suspect")
		}
	}
}

// busyTTL is how long an upstream counts as busy after it refused a request for lack of room.
const busyTTL = 200 * time.Millisecond

// recordBusy records that an upstream refused a request. A plain upstream frees a slot within milliseconds; an engine that
// loads weights refuses for about a second, so it is asked less often until it serves another version. The caller holds g.mu.
func (g *Gateway) recordBusy(u upstreams.Entry, model string, now time.Time) {
	h := g.healthOf(u.ID)
	if model == "" {
		h.MarkBusy(model, now.Add(busyTTL))
		return
	}
	h.RecordBusy(model, busyTTL, now)
}

// clearBusy records that an upstream serves other versions than before, so what it refused while it loaded them says nothing
// any more. The caller holds g.mu.
func (g *Gateway) clearBusy(u upstreams.Entry) {
	for model := range u.Versions {
		g.healthOf(u.ID).ClearBusy(model)
	}
}
