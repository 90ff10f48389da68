package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Times of a run.
const (
	// firstEventTimeout is how long a run may take to its first event before its upstream is asked whether it still
	// answers: queueing, reading the prompt and a round trip.
	firstEventTimeout = 800 * time.Millisecond
	// eventTimeout is the same for a pause between events; a slow upstream makes an event in about 150 ms.
	eventTimeout = 600 * time.Millisecond
	// maxSilence is how long an upstream that answers may leave a run without an event; a load of weights pauses it for
	// one or two seconds.
	maxSilence = 3 * time.Second
	// loadPause is the gap between events from which it says nothing about the pace: a load of weights or a preemption.
	loadPause = 500 * time.Millisecond
	// defaultLifetime holds for jobs whose route sets none.
	defaultLifetime = 30 * time.Second
	// failurePause precedes the next run of an item that an upstream failed.
	failurePause = 20 * time.Millisecond
)

// errStalled ends a run whose upstream went silent.
var errStalled = errors.New("no event in time")

// runItem runs an item at an upstream and puts it where it belongs afterwards.
func (o *ownedJob) runItem(p *batch.Progress, u upstreams.Entry) {
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	started := time.Now()
	before := p.Text.Last()
	o.setRun(p, &itemRun{upstream: u, started: started, move: func() { cancel(errMoved) }})
	failure := panicFailure()
	o.g.recoverPanic("run", func() { failure = o.generate(ctx, cancel, p, u) })
	o.setRun(p, nil)
	o.g.finishSend(u, o.job.Spec.Model, failure, ctx)
	if failure == nil {
		o.g.metrics.itemTime.UpdateDuration(started)
	}
	if o.ctx.Err() != nil {
		return
	}
	scoring := o.finishRun(p, u, failure, started, before)
	o.g.wakeScheduler()
	if scoring {
		o.guarded("score", func() { o.score(p) })
	}
	o.signal()
}

// generate streams the text of an item into its progress. It returns nil once the text is complete.
func (o *ownedJob) generate(
	ctx context.Context, cancel context.CancelCauseFunc, p *batch.Progress, u upstreams.Entry,
) *upstreamcall.Failure {
	w := newWatchdog(ctx, firstEventTimeout, func() bool { return o.g.isResponsive(ctx, u) }, func() { cancel(errStalled) })
	defer w.stop()
	answer, err := o.g.opts.Upstreams.Send(ctx, o.request(p, u))
	if err != nil {
		return stalled(ctx, upstreamcall.AsFailure(err))
	}
	defer answer.Body.Close()
	if failure := judge(answer, o.job.Spec.MinVersion); failure != nil {
		return failure
	}
	held := o.g.opts.Memory.Hold(func() { cancel(errAnswerTooLarge) })
	defer held.Release()
	events := o.g.opts.Codec.Events(answer.Body, answer.Version)
	last := time.Now()
	for {
		event, err := events.Next()
		if err == io.EOF && answer.Framed {
			return nil
		}
		if err != nil {
			return stalled(ctx, &upstreamcall.Failure{Reason: upstreamcall.Broken, Outcome: outcome.MayHaveRun, Err: err})
		}
		held.Add(len(event.Data))
		w.eventReceived(eventTimeout)
		now := time.Now()
		if failure := o.take(p, u, event, now.Sub(last)); failure != nil {
			return failure
		}
		last = now
	}
}

// stalled names the reason of a run that was ended from here.
func stalled(ctx context.Context, failure *upstreamcall.Failure) *upstreamcall.Failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		failure.Reason = upstreamcall.Silent
	case errors.Is(cause, errMoved):
		failure.Reason = upstreamcall.Moved
	case errors.Is(cause, errAnswerTooLarge):
		failure.Reason, failure.Err = upstreamcall.Endless, errAnswerTooLarge
	}
	return failure
}

// request is the item as a request to its upstream.
func (o *ownedJob) request(p *batch.Progress, u upstreams.Entry) *upstreamcall.Request {
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
		Priority: o.priority(p), ResumeAfter: p.Text.Last(), Upstream: u,
	}
}

// Ranks of items at an engine. Plain requests of callers have no rank and lie between them. An engine that runs out of memory
// puts back the newest of the last rank, which waits for room and is read again.
const (
	decisivePriority = 3
	neededPriority   = 4
	optionalPriority = 6
)

func (o *ownedJob) priority(p *batch.Progress) int {
	switch {
	case o.job.Optional(p):
		return optionalPriority
	case o.job.Decisive(p):
		return decisivePriority
	default:
		return neededPriority
	}
}

// judge decides whether an answer begins a usable text.
func judge(answer *upstreamcall.Answer, minVersion int64) *upstreamcall.Failure {
	ran := func(reason upstreamcall.Reason, text string) *upstreamcall.Failure {
		return &upstreamcall.Failure{Reason: reason, Outcome: outcome.Ran, Err: errors.New(text)}
	}
	switch {
	case answer.Status == http.StatusUnprocessableEntity:
		return ran(upstreamcall.Impossible, "the upstream answered 422")
	case answer.Status == http.StatusInternalServerError:
		return ran(upstreamcall.Failed, "the upstream answered 500")
	case answer.Status != http.StatusOK:
		return ran(upstreamcall.Broken, http.StatusText(answer.Status))
	case !answer.Signed:
		return ran(upstreamcall.Crossed, "a success without a signature")
	case answer.Version != 0 && answer.Version < minVersion:
		return ran(upstreamcall.OldVersion, "the weights are too old")
	}
	return nil
}

// take adds an event to the text.
func (o *ownedJob) take(
	p *batch.Progress, u upstreams.Entry, event upstreamcall.Event, pause time.Duration,
) *upstreamcall.Failure {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if !p.Text.Append(event.ID, event.Data, event.Version) {
		return &upstreamcall.Failure{
			Reason: upstreamcall.Crossed, Outcome: outcome.Ran, Err: errors.New("an event is missing or comes twice"),
		}
	}
	if p.OverLimit() {
		return &upstreamcall.Failure{
			Reason: upstreamcall.Endless, Outcome: outcome.Ran, Err: errors.New("the text is longer than its item allows"),
		}
	}
	if p.Text.Last() > 1 && pause < loadPause {
		o.g.healthOf(u.ID).Observe(pause, time.Now())
	}
	return nil
}

// finishRun moves an item on after a run and reports whether its text wants a score now.
func (o *ownedJob) finishRun(
	p *batch.Progress, u upstreams.Entry, failure *upstreamcall.Failure, started time.Time, before int,
) bool {
	g := o.g
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	log := g.opts.Log.Info().Str("job", o.entry.id).Str("item", p.Item.ID).Str("upstream", u.ID).
		Str("group", p.Item.Group).Bool("optional", o.job.Optional(p)).Int("estimated_tokens", p.Item.ExpectedTokens()).
		Int("from_event", before).Int("events", p.Text.Last()).Dur("took_ms", now.Sub(started))
	if failure == nil {
		g.tokenRateOf(o.job.Spec.Model).Learn(p.Item.LengthHint, p.Text.Last())
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
		o.job.RunFailed(p, now.Add(failurePause), u.ID)
	case upstreamcall.Busy, upstreamcall.Moved:
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.Misdirected:
		g.upstreams.Discard(u.ID)
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.OldVersion:
		g.healthOf(u.ID).Busy(o.job.Spec.Model, now.Add(time.Second))
		o.job.Requeue(p, now, u.ID)
	case upstreamcall.Crossed, upstreamcall.Endless:
		p.Text.Reset()
		o.job.Requeue(p, now.Add(failurePause), u.ID)
	default:
		o.job.Requeue(p, now.Add(failurePause), u.ID)
	}
	log.Str("reason", string(failure.Reason)).AnErr("error", failure.Err).Msg("run ended early")
	return false
}
