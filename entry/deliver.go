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
func (x *exchange) deliver(ctx context.Context, j *job, relay *responseRelay) (delivery, error) {
	ctx, release, refusal := x.requestContext(ctx, j.deadline)
	if refusal != nil {
		return delivery{}, refusal
	}
	defer release()
	delivered, err := x.e.execute(ctx, j, x.caller.keyID, relay, x.record)
	if err != nil {
		return delivery{}, err
	}
	x.record.Status = relay.status
	return delivered, nil
}

// execute runs a job whose key has been checked.
func (e *Entry) execute(ctx context.Context, j *job, keyID string, receiver responseReceiver, record *requestRecord) (delivery, error) {
	if err := e.checkLimits(j); err != nil {
		return delivery{}, err
	}
	release, err := e.waitForAdmission(ctx, j, keyID, record)
	if err != nil {
		e.refusedDemand.recordRefusal(j.destination, asRefusal(err).Kind)
		e.adjustQuota(j, 0)
		return delivery{}, err
	}
	delivered, err := e.forward(ctx, j, receiver, record)
	if err != nil {
		e.refusedDemand.recordRefusal(j.destination, asRefusal(err).Kind)
	}
	cost := actualCost(j, delivered, err)
	release(cost)
	e.adjustQuota(j, cost)
	return delivered, err
}

// checkLimits checks the limits of the workspace and the quarantine.
func (e *Entry) checkLimits(j *job) error {
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
		return newRetryableRefusal(outcome.KindQuarantined, http.StatusServiceUnavailable,
			"upstreams failed while they ran this request", "change the request, or send it after the given time", verdict.Remaining)
	case quarantine.RunAlone:
		j.exclusive = true
	}
	return nil
}

// adjustQuota replaces the estimated cost in the workspace's limit by the actual one.
func (e *Entry) adjustQuota(j *job, actual int64) {
	if e.quota != nil {
		e.quota.Adjust(j.workspace, actual-j.cost, e.now())
	}
}

// waitForAdmission waits for the turn of j. The returned function takes the actual cost and must be called once.
func (e *Entry) waitForAdmission(ctx context.Context, j *job, keyID string, record *requestRecord) (func(int64), error) {
	queuedAt := e.now()
	release, err := e.gate.Acquire(ctx, admission.Item{
		ID: j.id, Key: keyID, Workspace: j.workspace, Weight: j.weight, Cost: j.cost, Deadline: j.deadline,
		CompletesGroup: j.priority < 0,
	})
	wait := e.now().Sub(queuedAt)
	e.metrics.recordQueueWait(j.workspace, wait)
	record.addQueueWait(wait)
	if err != nil {
		return nil, queueRefusal(err)
	}
	return release, nil
}

// queueRefusal turns the end of a wait into a refusal; the request was not sent.
func queueRefusal(err error) *outcome.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return deadlineExceeded(outcome.NotRun)
	}
	if r, ok := outcome.AsRefusal(err); ok {
		refusal := *r
		refusal.Outcome = outcome.NotRun
		return &refusal
	}
	return newRefusal(outcome.KindDeadline, statusCallerGone, "the caller went away", "send the request again")
}

// statusCallerGone is what the log shows for a caller that closed its connection; no caller ever sees it.
const statusCallerGone = 499

// actualCost corrects the estimate by what the upstream counted.
func actualCost(j *job, delivered delivery, err error) int64 {
	if err != nil {
		if r, ok := outcome.AsRefusal(err); ok && r.Outcome == outcome.NotRun {
			return 0
		}
		return j.cost
	}
	if used := delivered.result.PromptTokens + delivered.result.CompletionTokens; used > 0 {
		return used
	}
	return j.cost
}
