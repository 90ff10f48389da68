package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// serveRolloutGroup serves POST /v1/rollout-groups. A group is acknowledged only once it is durable.
func (x *exchange) serveRolloutGroup(ctx context.Context) error {
	if x.caller.refusal != nil {
		return x.caller.refusal
	}
	if refusal := x.loadBody(); refusal != nil {
		return refusal
	}
	req, refusal := parseRollout(x.body, x.e.settings.MaxGroupSize)
	if refusal != nil {
		return refusal
	}
	destination, refusal := x.policyFor(req.Policy)
	if refusal != nil {
		return refusal
	}
	if refusal := x.checkRollout(req); refusal != nil {
		return refusal
	}
	run, refusal := x.newGroupRun(req, destination)
	if refusal != nil {
		return refusal
	}
	ctx, release, refusal := x.requestContext(ctx, run.deadline)
	if refusal != nil {
		return refusal
	}
	defer release()
	group, err := run.run(ctx)
	if err != nil {
		return err
	}
	if err := x.e.groups.AddGroup(ctx, group); err != nil {
		return storeRefusal(err)
	}
	x.e.metrics.groupsStored.Inc()
	return x.acknowledge(group)
}

// checkRollout checks the trainer and whether the group could be stored.
func (x *exchange) checkRollout(req rolloutRequest) *outcome.Refusal {
	trainer, ok := x.view.Trainer(req.Trainer)
	if !ok || trainer.Policy != req.Policy {
		return notFound("the trainer does not exist or trains another policy", "name the trainer of the policy")
	}
	if x.e.groups == nil || !x.e.groups.Accepting() {
		return newRetryableRefusal(outcome.KindStoreDown, http.StatusServiceUnavailable,
			"completed groups cannot be stored now", "repeat the request after the time in Retry-After", retryAfterIsolated)
	}
	if !x.e.groups.HasCapacity(req.Trainer) {
		return newRetryableRefusal(outcome.KindOverloaded, http.StatusServiceUnavailable,
			"the trainer has max_ready_samples samples waiting", "repeat the request after the time in Retry-After", retryAfterNoCapacity)
	}
	return nil
}

// newGroupRun returns the run that generates a group with the caller's key.
func (x *exchange) newGroupRun(req rolloutRequest, d destination) (*groupRun, *outcome.Refusal) {
	limits := x.e.effectiveLimits(x.view, x.caller.workspace, d.name)
	body, refusal := req.generationBody(limits.MaxTokens)
	if refusal != nil {
		return nil, refusal
	}
	cost := chatRequest{Messages: req.Messages}.cost(max(req.MaxTokens, 0))
	if req.MaxTokens == 0 {
		cost = chatRequest{Messages: req.Messages}.cost(limits.MaxTokens)
	}
	template, refusal := x.newJob(d, chatPath, body, cost, fleetconfig.Defaults{RequestTimeoutMs: limits.RequestTimeoutMs})
	if refusal != nil {
		return nil, refusal
	}
	template.sample = true
	template.prefix = prefixHashes(x.view, template, req.Messages)
	return &groupRun{
		e: x.e, request: req, template: *template, keyID: x.caller.keyID, record: x.record, deadline: template.deadline,
	}, nil
}

// storeRefusal converts a store error. The generations have run, so that the outcome is never "not run".
func storeRefusal(err error) *outcome.Refusal {
	refusal := *asRefusal(err)
	if refusal.Outcome == outcome.NotRun {
		refusal.Outcome = outcome.Ran
	}
	return &refusal
}

// acknowledge sends the completions and rewards of a durable group.
func (x *exchange) acknowledge(group samples.Group) error {
	response := rolloutResponse{Group: group.ID, Trainer: group.Trainer, Policy: group.Policy}
	for _, sample := range group.Samples {
		out := rolloutSample{ID: sample.ID, Completion: sample.Completion, Reward: sample.Reward}
		for _, span := range sample.Spans {
			out.Versions = append(out.Versions, span.Version)
		}
		response.Samples = append(response.Samples, out)
	}
	body, err := json.Marshal(response)
	if err != nil {
		return asRefusal(err)
	}
	x.writeJSON(http.StatusOK, body)
	return nil
}
