package entry

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/routing"
)

// maxPrefixBlocks limits the prompt blocks that are looked up for one request.
const maxPrefixBlocks = 128

// serveChat serves POST /v1/chat/completions.
func (x *exchange) serveChat(ctx context.Context) error {
	req, destination, err := x.readChat()
	if err != nil {
		return err
	}
	limits := x.e.effectiveLimits(x.view, x.caller.workspace, destination.name)
	body, refusal := applyTokenLimit(x.body, req, limits.MaxTokens)
	if refusal != nil {
		return refusal
	}
	j, refusal := x.newJob(destination, chatPath, body, req.cost(limits.MaxTokens), limits)
	if refusal != nil {
		return refusal
	}
	j.prefix = prefixHashes(x.view, j, req.Messages)
	j.sample = destination.trainer != "" && x.e.groups != nil
	relay := x.newResponseRelay()
	capture := &capturedResponse{limit: x.e.settings.MaxAnswerBufferBytes}
	if j.sample {
		relay.tee = capture
	}
	delivered, err := x.deliver(ctx, j, relay)
	if err != nil {
		return err
	}
	if j.sample {
		x.e.storeLiveSample(j, req, capture, delivered)
	}
	return nil
}

// readChat reads and authorizes a chat request. The body is not read if the caller has no valid key and no policy is
// open.
func (x *exchange) readChat() (chatRequest, destination, error) {
	if x.caller.refusal != nil && !anyOpenPolicy(x.view) {
		return chatRequest{}, destination{}, x.caller.refusal
	}
	if refusal := x.loadBody(); refusal != nil {
		return chatRequest{}, destination{}, refusal
	}
	req, refusal := parseChat(x.body)
	if refusal != nil {
		if x.caller.refusal != nil {
			refusal = x.caller.refusal
		}
		return req, destination{}, refusal
	}
	d, refusal := x.policyFor(req.Model)
	if refusal != nil {
		return req, d, refusal
	}
	return req, d, nil
}

// policyFor returns the destination of the named policy if the caller may use it.
func (x *exchange) policyFor(name string) (destination, *outcome.Refusal) {
	policy, ok := x.view.Policy(name)
	if !ok {
		if x.caller.refusal != nil {
			return destination{}, x.caller.refusal
		}
		return destination{}, destinationNotFound("name")
	}
	d := policyDestination(name, policy)
	x.record.Destination = name
	return d, d.authorize(x.caller, x.view)
}

func anyOpenPolicy(view *fleetconfig.View) bool {
	for _, policy := range view.Policies() {
		if policy.Open {
			return true
		}
	}
	return false
}

// prefixHashes returns the hashes of the prompt's prefix blocks. The wanted weight version is part of the hash, because
// cached blocks of older weights are useless after a weight swap.
func prefixHashes(view *fleetconfig.View, j *job, messages []byte) []uint64 {
	scope := prefixindex.Scope{Workspace: j.workspace, Policy: j.destination.name}
	if rollout, ok := view.Rollout(j.destination.name); ok {
		scope.Version = rollout.Version
	}
	return prefixindex.BlockHashes(scope, messages, routing.DefaultConfig().BlockTokens*bytesPerToken, maxPrefixBlocks)
}

// newJob returns the job for this exchange. Its deadline starts now.
func (x *exchange) newJob(
	d destination, target string, body []byte, cost int64, limits fleetconfig.Defaults,
) (*job, *outcome.Refusal) {
	timeout, refusal := x.e.requestTimeout(x.r.Header, limits)
	if refusal != nil {
		return nil, refusal
	}
	workspace, _ := x.view.Workspace(x.caller.workspace)
	header := copyHeaders(x.r.Header, forwardedHeaders)
	if d.kind == fleetconfig.UpstreamEngine {
		header.Set("Content-Type", "application/json")
	}
	method := x.r.Method
	if method == "" {
		method = http.MethodGet
	}
	return &job{
		id: x.id, destination: d, workspace: x.caller.workspace, method: method, target: target, header: header,
		body: body, cost: cost, weight: workspace.Weight, deadline: x.e.now().Add(timeout),
	}, nil
}
