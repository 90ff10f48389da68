package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
)

// deliver runs a job for the caller of this exchange and passes the answer to it.
func (x *exchange) deliver(ctx context.Context, j *job, to *relay) (delivery, error) {
	ctx, release, refusal := x.guard(ctx, j.deadline)
	if refusal != nil {
		return delivery{}, refusal
	}
	defer release()
	done, err := x.e.execute(ctx, j, x.caller.keyID, to, x.record)
	if err != nil {
		return delivery{}, err
	}
	x.record.Status = to.status
	return done, nil
}

// execute runs a job whose key has been checked.
func (e *Entry) execute(ctx context.Context, j *job, keyID string, to receiver, record *requestRecord) (delivery, error) {
	if err := e.screen(j); err != nil {
		return delivery{}, err
	}
	leave, err := e.enterQueue(ctx, j, keyID, record)
	if err != nil {
		e.refused.note(j.destination, asRefusal(err).Kind)
		e.correct(j, 0)
		return delivery{}, err
	}
	done, err := e.forward(ctx, j, to, record)
	if err != nil {
		e.refused.note(j.destination, asRefusal(err).Kind)
	}
	cost := actualCost(j, done, err)
	leave(cost)
	e.correct(j, cost)
	return done, err
}

// screen checks the limits of the workspace and the quarantine.
func (e *Entry) screen(j *job) error {
	j.fingerprint = quarantine.Fingerprint(j.workspace, j.method+" "+j.target, j.body)
	if err := e.checkSuspect(j); err != nil || e.quota == nil {
		return err
	}
	// The limit holds over all data centres, so that the holder of the quota role must see the same figure.
	limit := e.config.View().Effective(fleetconfig.Scope{Workspace: j.workspace}).TokensPerSecond
	return e.quota.Take(j.workspace, limit, j.cost, e.now())
}

// checkSuspect refuses a quarantined request and makes a crash suspect run alone. It is called before every attempt.
func (e *Entry) checkSuspect(j *job) error {
	verdict := e.fleet.checkQuarantine(j.fingerprint, e.now())
	switch verdict.Action {
	case quarantine.Refuse:
		return refuseLater(outcome.KindQuarantined, http.StatusServiceUnavailable,
			"upstreams failed while they ran this request", "change the request, or send it after the given time", verdict.Remaining)
	case quarantine.RunAlone:
		j.exclusive = true
	}
	return nil
}

// correct replaces the estimated cost in the workspace's limit by the actual one.
func (e *Entry) correct(j *job, actual int64) {
	if e.quota != nil {
		e.quota.Adjust(j.workspace, actual-j.cost, e.now())
	}
}

// enterQueue waits for the turn of j. The returned function takes the actual cost and must be called once.
func (e *Entry) enterQueue(ctx context.Context, j *job, keyID string, record *requestRecord) (func(int64), error) {
	queued := e.now()
	leave, err := e.gate.Acquire(ctx, admission.Item{
		ID: j.id, Key: keyID, Workspace: j.workspace, Weight: j.weight, Cost: j.cost, Deadline: j.deadline,
		CompletesGroup: j.priority < 0,
	})
	wait := e.now().Sub(queued)
	e.metrics.waited(j.workspace, wait)
	record.waited(wait)
	if err != nil {
		return nil, notSent(err)
	}
	return leave, nil
}

// notSent turns the end of a wait into a refusal; the request was not sent.
func notSent(err error) *outcome.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return deadlinePassed(outcome.NotRun)
	}
	if r, ok := outcome.AsRefusal(err); ok {
		refusal := *r
		refusal.Outcome = outcome.NotRun
		return &refusal
	}
	return refuse(outcome.KindDeadline, statusCallerGone, "the caller went away", "send the request again")
}

// statusCallerGone is what the log shows for a caller that closed its connection; no caller ever sees it.
const statusCallerGone = 499

// actualCost corrects the estimate by what the upstream counted.
func actualCost(j *job, done delivery, err error) int64 {
	if err != nil {
		if r, ok := outcome.AsRefusal(err); ok && r.Outcome == outcome.NotRun {
			return 0
		}
		return j.cost
	}
	if used := done.result.PromptTokens + done.result.CompletionTokens; used > 0 {
		return used
	}
	return j.cost
}
