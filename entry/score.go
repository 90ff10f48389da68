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

// maxScoreBytes bounds the answer of a scoring service.
const maxScoreBytes = 64 << 10

// scoreRequest is the body that a scoring service receives for one sample.
type scoreRequest struct {
	ID         string          `json:"id"`
	Policy     string          `json:"policy"`
	Messages   json.RawMessage `json:"messages"`
	Completion string          `json:"completion"`
}

// scoreResponse is the answer of a scoring service.
type scoreResponse struct {
	Reward *float64 `json:"reward"`
}

// score asks the policy's scoring service for the reward of each sample. Without one the samples stay without reward.
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
			Message: "the scoring service answered without a reward (status " + strconv.Itoa(response.status) + ")",
			Remedy:  `let it answer {"reward": number}`, Err: errors.New("no reward"),
		}
	}
	return result.Reward, nil
}
