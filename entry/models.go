package entry

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// modelListResponse is the response body of GET /v1/models in the OpenAI format.
type modelListResponse struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model describes one policy in the OpenAI format.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves GET /v1/models, which lists the policies that the caller may use.
func (x *exchange) serveModels() error {
	if refusal := x.loadBody(); refusal != nil {
		return refusal
	}
	x.record.Destination = "models"
	list := modelListResponse{Object: "list", Data: []model{}}
	policies := x.view.Policies()
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		if policyDestination(name, policies[name]).authorize(x.caller, x.view) == nil {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "radishshelf"})
		}
	}
	if x.caller.refusal != nil && len(list.Data) == 0 {
		return x.caller.refusal
	}
	body, err := json.Marshal(list)
	if err != nil {
		return asRefusal(err)
	}
	x.writeJSON(http.StatusOK, body)
	return nil
}

// writeJSON sends a JSON response that this entry generated.
func (x *exchange) writeJSON(status int, body []byte) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set(dataplane.HeaderOutcome, outcome.Ran.String())
	x.record.Status = status
	x.w.WriteHeader(status)
	// A write error is ignored, because the caller has disconnected.
	_, _ = x.w.Write(append(body, '\n'))
}
