package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Timeouts of a run.
const (
	// firstEventTimeout is how long a run may take to its first event before its upstream is probed. It covers
	// queueing, prompt processing and a round trip.
	firstEventTimeout = 800 * time.Millisecond
	// eventTimeout is the same for the gap between two events; a slow upstream generates an event in about 150 ms.
	eventTimeout = 600 * time.Millisecond
	// maxSilence is how long a run may stay without an event at an upstream that responds to probes; a load of
	// weights pauses it for one or two seconds.
	maxSilence = 3 * time.Second
	// maxPaceGap is the gap between events from which it is no measure of the pace, because a load of weights or a
	// preemption caused it.
	maxPaceGap = 500 * time.Millisecond
	// defaultLifetime is the lifetime of jobs whose route sets none.
	defaultLifetime = 30 * time.Second
	// failureRetryDelay is the delay before the next run of an item after a failed one.
	failureRetryDelay = 20 * time.Millisecond
)

// errStalled cancels a run whose upstream stopped responding.
var errStalled = errors.New("no event in time")

// runItem runs an item at an upstream and moves it to its next phase.
func (o *ownedJob) runItem(p *batch.Progress, slot reservedSlot) {
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	before := p.Text.LastEventID()
	run := &itemRun{upstream: slot.upstream, attempt: slot.attempt, started: time.Now(), move: func() { cancel(errMoved) }}
	o.setRun(p, run)
	failure := panicFailure()
	o.g.recoverPanic("run", func() { failure = o.generate(ctx, cancel, p, run) })
	o.setRun(p, nil)
	o.g.finishSend(slot, o.job.Spec.Model, failure, ctx)
	if failure == nil {
		o.g.metrics.itemTime.UpdateDuration(run.started)
	}
	if o.ctx.Err() != nil {
		return
	}
	scoring := o.finishRun(p, run, failure, before)
	o.g.wakeScheduler()
	if scoring {
		o.recoverPanic("score", func() { o.score(p) })
	}
	o.signalLister()
}

// generate streams the text of an item into its progress. It returns nil once the text is complete.
func (o *ownedJob) generate(
	ctx context.Context, cancel context.CancelCauseFunc, p *batch.Progress, run *itemRun,
) *upstreamcall.Failure {
	u := run.upstream
	w := newWatchdog(ctx, firstEventTimeout, func() bool { return o.g.isResponsive(ctx, u) }, func() { cancel(errStalled) })
	defer w.stop()
	response, err := o.g.opts.Upstreams.Send(ctx, o.itemRequest(p, u))
	if err != nil {
		return setCancelReason(ctx, upstreamcall.AsFailure(err))
	}
	defer response.Body.Close()
	if failure := checkResponse(response, o.job.Spec.MinVersion); failure != nil {
		return failure
	}
	reservation := o.g.opts.Memory.NewReservation(func() { cancel(errResponseTooLarge) })
	defer reservation.Release()
	// What was read of an event counts, too: it may have no end.
	events := o.g.opts.Codec.Events(reservation.Reader(response.Body), response.Version)
	text := p.Text.Size()
	for {
		event, err := events.Next()
		if err == io.EOF && response.Framed {
			return nil
		}
		if err != nil {
			return setCancelReason(ctx, &upstreamcall.Failure{Reason: upstreamcall.Broken, Outcome: outcome.MayHaveRun, Err: err})
		}
		text += len(event.Data)
		reservation.ShrinkTo(int64(text))
		w.eventReceived(eventTimeout)
		if failure := o.appendEvent(p, run, event); failure != nil {
			return failure
		}
	}
}

// setCancelReason sets the reason of a failure that this process caused by cancelling the run.
func setCancelReason(ctx context.Context, failure *upstreamcall.Failure) *upstreamcall.Failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		failure.Reason = upstreamcall.Silent
	case errors.Is(cause, errMoved):
		failure.Reason = upstreamcall.Moved
	case errors.Is(cause, errResponseTooLarge):
		failure.Reason, failure.Err = upstreamcall.Endless, errResponseTooLarge
	}
	return failure
}

// itemRequest builds the request for an item's text.
func (o *ownedJob) itemRequest(p *batch.Progress, u upstreams.Entry) *upstreamcall.Request {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	record := o.entry.record
	lifetime := record.Lifetime
	if lifetime == 0 {
		lifetime = defaultLifetime
	}
	return &upstreamcall.Request{
		ID: p.Item.ID, Host: record.Host, Method: http.MethodPost, Target: p.Item.Path,
		Header: o.g.opts.Codec.ItemHeader(p.Item.Headers), Body: p.Item.Body, Workspace: record.Workspace,
		TimeLeft: max(record.AcceptedAt+lifetime-o.g.storeClock(), time.Second),
		Priority: o.priority(p), ResumeAfter: p.Text.LastEventID(), Upstream: u,
	}
}

// Priorities of items at an engine; a lower number ranks first. Plain requests of callers have no priority and rank
// between them. An engine that runs out of memory preempts the newest run of the last rank, which waits for room and
// has its prompt processed again.
const (
	criticalPathPriority = 3
	normalPriority       = 4
	optionalPriority     = 6
)

func (o *ownedJob) priority(p *batch.Progress) int {
	switch {
	case o.job.Optional(p):
		return optionalPriority
	case o.job.OnCriticalPath(p):
		return criticalPathPriority
	default:
		return normalPriority
	}
}

// checkResponse returns a failure unless the response begins a usable text.
func checkResponse(response *upstreamcall.Response, minVersion int64) *upstreamcall.Failure {
	ran := func(reason upstreamcall.Reason, text string) *upstreamcall.Failure {
		return &upstreamcall.Failure{Reason: reason, Outcome: outcome.Ran, Err: errors.New(text)}
	}
	switch {
	case response.Status == http.StatusUnprocessableEntity:
		return ran(upstreamcall.Impossible, "upstream responded with status 422")
	case response.Status == http.StatusInternalServerError:
		return ran(upstreamcall.Failed, "upstream responded with status 500")
	case response.Status != http.StatusOK:
		return ran(upstreamcall.Broken, fmt.Sprintf("upstream responded with status %d", response.Status))
	case !response.Signed:
		return ran(upstreamcall.Crossed, "successful response without a signature")
	case response.Version != 0 && response.Version < minVersion:
		return ran(upstreamcall.OldVersion, "response generated by weights that are too old")
	}
	return nil
}

// appendEvent appends an event to the text.
func (o *ownedJob) appendEvent(p *batch.Progress, run *itemRun, event upstreamcall.Event) *upstreamcall.Failure {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if !p.Text.Append(event.ID, event.Data, event.Version) {
		return &upstreamcall.Failure{
			Reason: upstreamcall.Crossed, Outcome: outcome.Ran, Err: errors.New("event missing or duplicated"),
		}
	}
	if p.OverLimit() {
		return &upstreamcall.Failure{
			Reason: upstreamcall.Endless, Outcome: outcome.Ran, Err: errors.New("text exceeds the limit of its item"),
		}
	}
	o.g.observeEvent(run, time.Now())
	o.observeResumed(p)
	return nil
}

// finishRun moves an item to its next phase after a run and reports whether its text needs a score now.
func (o *ownedJob) finishRun(
	p *batch.Progress, run *itemRun, failure *upstreamcall.Failure, before int,
) bool {
	g, u := o.g, run.upstream
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	log := g.opts.Log.Info().Str("job", o.entry.id).Str("item", p.Item.ID).Str("upstream", u.ID).
		Str("group", p.Item.Group).Bool("optional", o.job.Optional(p)).Int("estimated_tokens", p.Item.ExpectedTokens()).
		Int("from_event", before).Int("events", p.Text.LastEventID()).Dur("took_ms", now.Sub(run.started))
	if !run.firstEvent.IsZero() {
		log = log.Dur("first_event_ms", run.firstEvent.Sub(run.started))
	}
	if failure == nil {
		o.observeResumed(p)
		g.textEstimatesOf(o.job.Spec.Model).learn(p)
		o.job.TextComplete(p, now)
		log.Ints64("versions", p.Text.Versions).Bool("fits", p.Phase == batch.Scoring || p.Phase == batch.Finished).
			Msg("text complete")
		return p.Phase == batch.Scoring
	}
	g.metrics.itemFailures(string(failure.Reason)).Inc()
	switch failure.Reason {
	case upstreamcall.Impossible:
		o.job.Abandon(p)
	case upstreamcall.Failed:
		o.job.RunFailed(p, now.Add(failureRetryDelay), u.ID)
	case upstreamcall.Moved:
		p.Moves++
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.Busy:
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.Misdirected:
		g.upstreams.Discard(u.ID)
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.OldVersion:
		g.healthOf(u.ID).MarkBusy(o.job.Spec.Model, now.Add(time.Second))
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.Crossed, upstreamcall.Endless:
		p.Text.Reset()
		o.job.Requeue(p, now.Add(failureRetryDelay), u.ID)
	default:
		o.job.Requeue(p, now.Add(failureRetryDelay), u.ID)
	}
	log.Str("reason", string(failure.Reason)).AnErr("error", failure.Err).Msg("run ended early")
	return false
}
