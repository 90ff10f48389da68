package agent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// refusalBody is the JSON body of a refusal. Entries decide by the headers and pass the message and the remedy on
// to callers.
type refusalBody struct {
	Kind    outcome.Kind `json:"kind"`
	Outcome string       `json:"outcome"`
	Message string       `json:"message"`
	Remedy  string       `json:"remedy"`
}

func writeRefusal(w http.ResponseWriter, r *outcome.Refusal) {
	h := w.Header()
	h.Set(dataplane.HeaderOutcome, r.Outcome.String())
	h.Set(dataplane.HeaderRefusalKind, string(r.Kind))
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(refusalBody{
		Kind: r.Kind, Outcome: r.Outcome.String(), Message: r.Message, Remedy: r.Remedy,
	})
}
