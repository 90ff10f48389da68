package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/retry"
)

// receiver takes the answer of one attempt. It returns nil only after the whole answer was taken.
type receiver interface {
	receive(answer *dataplane.Response) error
	// passedOn counts the bytes of the answer that cannot be taken back any more.
	passedOn() int64
}

// delivery describes a request that an upstream answered completely.
type delivery struct {
	upstream string
	result   dataplane.Result
	// reported is set when the agent sent a Result.
	reported bool
}

// forward sends j to an upstream, and to others as the retry rules allow, until one answer was received whole.
// Errors are *outcome.Refusal whose outcome covers all attempts.
func (e *Entry) forward(ctx context.Context, j *job, to receiver, record *requestRecord) (delivery, error) {
	var excluded []string
	if j.avoid != "" {
		excluded = append(excluded, j.avoid)
	}
	e.retries.firstTry(e.now())
	worst := outcome.NotRun
	var last *outcome.Refusal
	for attempt := 1; ; attempt++ {
		choice, err := e.fleet.choose(j, attempt, excluded, e.config.View(), e.now())
		record.decided(choice)
		if err != nil && last != nil {
			// The refusal of the upstream that was tried says more than that none is left.
			return delivery{}, coverAttempts(last, worst)
		}
		if err != nil {
			return delivery{}, asRefusal(err)
		}
		if j.running != nil {
			j.running.Store(&choice.upstream.Name)
		}
		done, err := e.attempt(ctx, j, choice, attempt, to)
		if err == nil {
			record.served(choice.upstream.Name)
			return done, nil
		}
		refusal := e.explain(ctx, err)
		record.failed(choice.upstream.Name, refusal)
		if refusal.Outcome != outcome.NotRun {
			worst = refusal.Outcome
		}
		last = refusal
		if !e.mayRetry(ctx, j, attempt, refusal, to.passedOn()) {
			return delivery{}, coverAttempts(refusal, worst)
		}
		if err := e.checkSuspect(j); err != nil {
			if worst != outcome.NotRun {
				// The status of a quarantined request promises that it has not run.
				return delivery{}, coverAttempts(refusal, worst)
			}
			return delivery{}, asRefusal(err)
		}
		excluded = append(excluded, choice.upstream.Name)
	}
}

// coverAttempts makes the outcome of the last refusal speak for all attempts: "not run" is true only if none ran.
func coverAttempts(last *outcome.Refusal, worst outcome.Outcome) *outcome.Refusal {
	if worst == outcome.NotRun || last.Outcome != outcome.NotRun {
		return last
	}
	covered := *last
	covered.Outcome = worst
	return &covered
}

func (e *Entry) mayRetry(ctx context.Context, j *job, attempt int, refusal *outcome.Refusal, passed int64) bool {
	if ctx.Err() != nil {
		return false
	}
	now := e.now()
	decision := e.retries.decide(retry.Attempt{
		Number: attempt, Outcome: refusal.Outcome, Idempotent: j.destination.idempotent, BytesPassedOn: passed,
		DeadlineLeft: j.deadline.Sub(now),
	}, now)
	if decision.Retry {
		e.metrics.retried(string(decision.Reason))
	}
	return decision.Retry
}

// attempt sends j to one upstream and passes the answer to the receiver.
func (e *Entry) attempt(ctx context.Context, j *job, choice chosen, number int, to receiver) (delivery, error) {
	release := sync.OnceFunc(func() { e.fleet.release(choice) })
	defer release()
	ctx, span := e.tracer.Start(ctx, "entry.attempt", attribute.String("upstream", choice.upstream.Name),
		attribute.Int("attempt", number), attribute.String("request_id", j.id))
	defer span.End()
	call := j.call(choice.upstream.DataAddress, number, e.now())
	if call.Timeout <= 0 {
		return delivery{}, deadlinePassed(outcome.NotRun)
	}
	call.Header = call.Header.Clone()
	e.tracer.Inject(ctx, call.Header)
	answer, err := e.client.Do(ctx, call)
	if err != nil {
		e.noteFailure(ctx, j, choice, err)
		return delivery{}, err
	}
	defer answer.Close()
	// The upstream is done before the caller gets the end of the answer and may send its next request.
	answer.OnEnd(release)
	if load, ok := answer.Load(); ok {
		e.fleet.answered(choice.upstream.Name, load, e.now())
	}
	err = to.receive(answer)
	result, reported := answer.Result()
	if reported {
		e.retainUsage(j, result)
	}
	if err != nil {
		refusal := truncated(err)
		if errors.Is(err, dataplane.ErrTruncated) {
			e.noteFailure(ctx, j, choice, refusal)
		}
		return delivery{}, refusal
	}
	return delivery{upstream: choice.upstream.Name, result: result, reported: reported}, nil
}

// noteFailure takes an upstream out of the choice at once when its address refuses connections, and makes a request a
// suspect when its upstream failed while it ran.
func (e *Entry) noteFailure(ctx context.Context, j *job, choice chosen, err error) {
	refusal := asRefusal(err)
	if ctx.Err() != nil || refusal.Kind != outcome.KindUpstreamFailed {
		return
	}
	if refusal.Outcome == outcome.NotRun {
		e.fleet.refused(choice.upstream.Name, e.now())
		return
	}
	e.fleet.suspect(j.fingerprint, j.exclusive, e.now())
}

// truncated describes an answer that began and did not end.
func truncated(err error) *outcome.Refusal {
	if r, ok := outcome.AsRefusal(err); ok {
		return r
	}
	return &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the answer of the upstream ended early", Remedy: "look up the effect before repeating the request",
		RetryAfter: time.Second, Err: err,
	}
}

// explain replaces the error of a cancelled attempt by the reason of the cancellation, and keeps what is known about
// the execution.
func (e *Entry) explain(ctx context.Context, err error) *outcome.Refusal {
	refusal := asRefusal(err)
	cause := context.Cause(ctx)
	if cause == nil {
		return refusal
	}
	if r, ok := outcome.AsRefusal(cause); ok {
		replaced := *r
		replaced.Outcome = refusal.Outcome
		return &replaced
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return deadlinePassed(refusal.Outcome)
	}
	return refusal
}
