package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// maxScoreBytes limits the response of a scoring service.
const maxScoreBytes = 64 << 10

// scoreRequest is the request body for scoring one sample.
type scoreRequest struct {
	ID         string          `json:"id"`
	Policy     string          `json:"policy"`
	Messages   json.RawMessage `json:"messages"`
	Completion string          `json:"completion"`
}

// scoreResponse is the response body of a scoring service.
type scoreResponse struct {
	Reward *float64 `json:"reward"`
}

// score requests the reward of each sample from the policy's scoring service and sets it in group. If the policy has
// none, the samples keep no reward.
func (e *Entry) score(ctx context.Context, generation *job, group []samples.Sample) error {
	view := e.config.View()
	policy, ok := view.Policy(generation.destination.name)
	if !ok || policy.Scorer == "" {
		return nil
	}
	route, ok := view.Route(policy.Scorer)
	if !ok {
		return notFound("the scoring route "+policy.Scorer+" does not exist", "create the route or remove it from the policy")
	}
	for i := range group {
		sample := &group[i]
		body, err := json.Marshal(scoreRequest{
			ID: sample.ID, Policy: sample.Policy, Messages: sample.Messages, Completion: sample.Completion,
		})
		if err != nil {
			return err
		}
		j := &job{
			id: generation.id + ".score" + strconv.Itoa(sample.Index), destination: routeDestination(policy.Scorer, route),
			workspace: generation.workspace, method: http.MethodPost, target: route.PathPrefix, body: body,
			header: http.Header{"Content-Type": {"application/json"}}, cost: max(route.CostTokens, 1),
			weight: generation.weight, deadline: generation.deadline,
		}
		reward, err := e.requestReward(ctx, j)
		if err != nil {
			return err
		}
		sample.Reward = reward
	}
	return nil
}

// requestReward executes a scoring job and returns its reward.
func (e *Entry) requestReward(ctx context.Context, j *job) (*float64, error) {
	if deadline, ok := ctx.Deadline(); ok {
		j.deadline = deadline
	}
	response := &bufferedResponse{limit: maxScoreBytes}
	if _, err := e.execute(ctx, j, "", response, &requestRecord{}); err != nil {
		return nil, err
	}
	var result scoreResponse
	if response.status != http.StatusOK || json.Unmarshal(response.body, &result) != nil || result.Reward == nil {
		return nil, &outcome.Refusal{
			Kind: outcome.KindUpstreamFailed, Outcome: outcome.Ran, Status: http.StatusBadGateway,
			Message: "the scoring service returned no reward (status " + strconv.Itoa(response.status) + ")",
			Remedy:  `make the scoring service return {"reward": number}`, Err: errors.New("no reward"),
		}
	}
	return result.Reward, nil
}
