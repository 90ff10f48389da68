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

// deliver executes a job for the caller of this exchange and forwards the response to it.
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

// execute checks the limits, waits in the queue and forwards the job. The caller must have checked the key.
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

// checkLimits checks the quarantine and charges the cost to the token limit of the workspace.
func (e *Entry) checkLimits(j *job) error {
	j.fingerprint = quarantine.Fingerprint(j.workspace, j.method+" "+j.target, j.body)
	if err := e.checkSuspect(j); err != nil || e.quota == nil {
		return err
	}
	// The limit is the one without a data centre: it applies to all of them, and the holder of the quota role must use
	// the same value.
	limit := e.config.View().Effective(fleetconfig.Scope{Workspace: j.workspace}).TokensPerSecond
	return e.quota.Take(j.workspace, limit, j.cost, e.now())
}

// checkSuspect refuses a quarantined request and makes a crash suspect run exclusively. It is called before every
// attempt.
func (e *Entry) checkSuspect(j *job) error {
	decision := e.fleet.checkQuarantine(j.fingerprint, e.now())
	switch decision.Action {
	case quarantine.Refuse:
		return newRetryableRefusal(outcome.KindQuarantined, http.StatusServiceUnavailable,
			"upstreams failed while running this request", "change the request, or repeat it after the time in Retry-After", decision.Remaining)
	case quarantine.RunAlone:
		j.exclusive = true
	}
	return nil
}

// adjustQuota replaces the estimated cost charged to the workspace with the actual cost.
func (e *Entry) adjustQuota(j *job, actual int64) {
	if e.quota != nil {
		e.quota.Adjust(j.workspace, actual-j.cost, e.now())
	}
}

// waitForAdmission waits until the admission queue admits j. The returned function takes the actual cost and must be
// called once.
func (e *Entry) waitForAdmission(ctx context.Context, j *job, keyID string, record *requestRecord) (func(int64), error) {
	queuedAt := e.now()
	item := admission.Item{
		ID: j.id, Key: keyID, Workspace: j.workspace, Weight: j.weight, Cost: j.cost, Deadline: j.deadline,
	}
	if j.priority < 0 {
		item.Rank = admission.CompletesGroup
	}
	release, err := e.gate.Acquire(ctx, item)
	wait := e.now().Sub(queuedAt)
	e.metrics.recordQueueWait(j.workspace, wait)
	record.addQueueWait(wait)
	if err != nil {
		return nil, queueRefusal(err)
	}
	return release, nil
}

// queueRefusal converts the error of an ended wait into a refusal with outcome "not run", because the request was not
// sent.
func queueRefusal(err error) *outcome.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return deadlineExceeded(outcome.NotRun)
	}
	if r, ok := outcome.AsRefusal(err); ok {
		refusal := *r
		refusal.Outcome = outcome.NotRun
		return &refusal
	}
	return newRefusal(outcome.KindDeadline, statusCallerGone, "the caller closed the connection", "repeat the request")
}

// statusCallerGone is the status that is logged when the caller closed its connection. It is never sent.
const statusCallerGone = 499

// actualCost returns the token count that the upstream reported, the estimate if there is none, or 0 if the job did not
// run.
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
