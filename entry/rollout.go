package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// rolloutGroup serves POST /v1/rollout-groups. It acknowledges only a durable group.
func (x *exchange) rolloutGroup(ctx context.Context) error {
	if x.caller.refusal != nil {
		return x.caller.refusal
	}
	if refusal := x.read(); refusal != nil {
		return refusal
	}
	req, refusal := parseRollout(x.body, x.e.settings.MaxGroupSize)
	if refusal != nil {
		return refusal
	}
	destination, refusal := x.policy(req.Policy)
	if refusal != nil {
		return refusal
	}
	if refusal := x.mayRollOut(req); refusal != nil {
		return refusal
	}
	run, refusal := x.newGroupRun(req, destination)
	if refusal != nil {
		return refusal
	}
	ctx, release, refusal := x.guard(ctx, run.deadline)
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
	x.e.metrics.groups.Inc()
	return x.acknowledge(group)
}

// mayRollOut checks the trainer and whether the group could be stored.
func (x *exchange) mayRollOut(req rolloutRequest) *outcome.Refusal {
	trainer, ok := x.view.Trainer(req.Trainer)
	if !ok || trainer.Policy != req.Policy {
		return notFound("the trainer does not exist or trains another policy", "name the trainer of the policy")
	}
	if x.e.groups == nil || !x.e.groups.Accepting() {
		return refuseLater(outcome.KindStoreDown, http.StatusServiceUnavailable,
			"completed groups cannot be stored now", "send the group again after the given time", retryIsolated)
	}
	if !x.e.groups.HasCapacity(req.Trainer) {
		return refuseLater(outcome.KindOverloaded, http.StatusServiceUnavailable,
			"the trainer has max_ready_samples samples waiting", "send the group again after the given time", retryNoRoom)
	}
	return nil
}

// newGroupRun prepares the generation of a group under the caller's key.
func (x *exchange) newGroupRun(req rolloutRequest, d destination) (*groupRun, *outcome.Refusal) {
	limits := x.e.effective(x.view, x.caller.workspace, d.name)
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
	template.prefix = prefixOf(x.view, template, req.Messages)
	return &groupRun{
		e: x.e, request: req, template: *template, keyID: x.caller.keyID, record: x.record, deadline: template.deadline,
	}, nil
}

// storeRefusal makes sure that a group that ran is not reported as "not run".
func storeRefusal(err error) *outcome.Refusal {
	refusal := *asRefusal(err)
	if refusal.Outcome == outcome.NotRun {
		refusal.Outcome = outcome.Ran
	}
	return &refusal
}

func (x *exchange) acknowledge(group samples.Group) error {
	answer := rolloutAnswer{Group: group.ID, Trainer: group.Trainer, Policy: group.Policy}
	for _, sample := range group.Samples {
		out := rolloutSample{ID: sample.ID, Completion: sample.Completion, Reward: sample.Reward}
		for _, span := range sample.Spans {
			out.Versions = append(out.Versions, span.Version)
		}
		answer.Samples = append(answer.Samples, out)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return asRefusal(err)
	}
	x.answerJSON(http.StatusOK, body)
	return nil
}
