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

// responseReceiver consumes the response of one attempt.
type responseReceiver interface {
	// receive returns nil only after it has read the complete response.
	receive(response *dataplane.Response) error
	// bytesPassedOn returns how many bytes of the response have been sent to the caller and cannot be withdrawn.
	bytesPassedOn() int64
}

// delivery describes a request for which an upstream sent a complete response.
type delivery struct {
	upstream string
	result   dataplane.Result
	// hasResult is set if the agent sent a Result.
	hasResult bool
}

// forward sends j to an upstream and retries on others, as the retry policy allows, until one response is complete.
// Errors are *outcome.Refusal; their outcome covers all attempts.
func (e *Entry) forward(ctx context.Context, j *job, receiver responseReceiver, record *requestRecord) (delivery, error) {
	var excluded []string
	if j.excludedUpstream != "" {
		excluded = append(excluded, j.excludedUpstream)
	}
	e.retries.recordFirstAttempt(e.now())
	worstOutcome := outcome.NotRun
	var last *outcome.Refusal
	for attempt := 1; ; attempt++ {
		choice, err := e.fleet.choose(j, attempt, excluded, e.config.View(), e.now())
		record.addDecision(choice)
		if err != nil && last != nil {
			// The refusal of the last attempt is more informative than the error that no upstream is left.
			return delivery{}, coverAttempts(last, worstOutcome)
		}
		if err != nil {
			return delivery{}, asRefusal(err)
		}
		if j.currentUpstream != nil {
			j.currentUpstream.Store(&choice.upstream.Name)
		}
		result, err := e.sendAttempt(ctx, j, choice, attempt, receiver)
		if err == nil {
			record.setUpstream(choice.upstream.Name)
			return result, nil
		}
		refusal := e.applyCancelCause(ctx, err)
		record.addFailure(choice.upstream.Name, refusal)
		if refusal.Outcome != outcome.NotRun {
			worstOutcome = refusal.Outcome
		}
		last = refusal
		decision := e.decideRetry(ctx, j, attempt, refusal, receiver.bytesPassedOn())
		record.addRetryDecision(decision)
		if !decision.Retry {
			return delivery{}, coverAttempts(refusal, worstOutcome)
		}
		if err := e.checkSuspect(j); err != nil {
			if worstOutcome != outcome.NotRun {
				// A quarantine refusal states that the request has not run, but an earlier attempt may have run it.
				return delivery{}, coverAttempts(refusal, worstOutcome)
			}
			return delivery{}, asRefusal(err)
		}
		excluded = append(excluded, choice.upstream.Name)
	}
}

// coverAttempts returns the last refusal with an outcome for all attempts: "not run" holds only if none of them ran.
func coverAttempts(last *outcome.Refusal, worstOutcome outcome.Outcome) *outcome.Refusal {
	if worstOutcome == outcome.NotRun || last.Outcome != outcome.NotRun {
		return last
	}
	return withOutcome(last, worstOutcome)
}

// withOutcome returns a copy of the refusal of an attempt that did not run, with the outcome of the whole request. The status
// 503 of a failed upstream invites callers and proxies to resend, so it is kept only for "not run".
func withOutcome(refusal *outcome.Refusal, o outcome.Outcome) *outcome.Refusal {
	changed := *refusal
	changed.Outcome = o
	if o == outcome.NotRun {
		return &changed
	}
	// The remedy may be to repeat the request, which is right for the last attempt only.
	changed.Remedy = "check the effect before repeating the request"
	if changed.Kind == outcome.KindUpstreamFailed {
		changed.Status = http.StatusBadGateway
	}
	return &changed
}

// decideRetry decides whether the retry policy allows another attempt. It spends the retry budget as the policy does.
func (e *Entry) decideRetry(ctx context.Context, j *job, attempt int, refusal *outcome.Refusal, bytesPassedOn int64) retry.Decision {
	if ctx.Err() != nil {
		return retry.Decision{Reason: retry.ReasonCancelled}
	}
	now := e.now()
	decision := e.retries.decide(retry.Attempt{
		Number: attempt, Outcome: refusal.Outcome, Idempotent: j.destination.idempotent, BytesPassedOn: bytesPassedOn,
		DeadlineLeft: j.deadline.Sub(now),
	}, now)
	if decision.Retry {
		e.metrics.recordRetry(string(decision.Reason))
	}
	return decision
}

// sendAttempt sends j to one upstream and passes the response to the receiver.
func (e *Entry) sendAttempt(ctx context.Context, j *job, choice upstreamChoice, number int, receiver responseReceiver) (delivery, error) {
	release := sync.OnceFunc(func() { e.fleet.release(choice) })
	defer release()
	ctx, span := e.tracer.Start(ctx, "entry.attempt", attribute.String("upstream", choice.upstream.Name),
		attribute.Int("attempt", number), attribute.String("request_id", j.id))
	defer span.End()
	call := j.call(choice.upstream.DataAddress, number, e.now())
	if call.Timeout <= 0 {
		return delivery{}, deadlineExceeded(outcome.NotRun)
	}
	call.Header = call.Header.Clone()
	e.tracer.Inject(ctx, call.Header)
	response, err := e.client.Do(ctx, call)
	if err != nil {
		e.recordFailure(ctx, j, choice, err)
		return delivery{}, err
	}
	defer response.Close()
	// The upstream is released before the caller sees the end of the response and may send its next request.
	response.OnEnd(release)
	if load, ok := response.Load(); ok {
		e.fleet.recordResponse(choice.upstream.Name, load, e.now())
	}
	err = receiver.receive(response)
	result, hasResult := response.Result()
	if hasResult {
		e.retainUsage(j, result)
	}
	if err != nil {
		refusal := truncatedRefusal(err)
		if errors.Is(err, dataplane.ErrTruncated) {
			e.recordFailure(ctx, j, choice, refusal)
		}
		return delivery{}, refusal
	}
	return delivery{upstream: choice.upstream.Name, result: result, hasResult: hasResult}, nil
}

// recordFailure excludes an upstream from selection at once if its address refuses connections, and marks a request as a
// crash suspect if its upstream failed while running it or its agent refused it as one.
func (e *Entry) recordFailure(ctx context.Context, j *job, choice upstreamChoice, err error) {
	refusal := asRefusal(err)
	switch {
	case ctx.Err() != nil:
	case refusal.Kind == outcome.KindQuarantined:
		// Agents refuse an exclusive request only after repeated deaths.
		e.fleet.addSuspect(j.fingerprint, j.exclusive, max(refusal.RetryAfter, localSuspectTTL), e.now())
	case refusal.Kind != outcome.KindUpstreamFailed:
	case refusal.Outcome == outcome.NotRun:
		e.fleet.recordConnectionRefused(choice.upstream.Name, e.now())
	default:
		e.fleet.addSuspect(j.fingerprint, j.exclusive, localSuspectTTL, e.now())
	}
}

// truncatedRefusal returns the refusal for a response that began and did not complete.
func truncatedRefusal(err error) *outcome.Refusal {
	if r, ok := outcome.AsRefusal(err); ok {
		return r
	}
	return &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the upstream's response ended early", Remedy: "check the effect before repeating the request",
		RetryAfter: time.Second, Err: err,
	}
}

// applyCancelCause replaces the error of a cancelled attempt with the cause of the cancellation. It keeps the outcome of
// the attempt.
func (e *Entry) applyCancelCause(ctx context.Context, err error) *outcome.Refusal {
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
		return deadlineExceeded(refusal.Outcome)
	}
	return refusal
}
