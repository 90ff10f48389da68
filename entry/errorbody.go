package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// HeaderRequestID is the header with the request id on every response to a caller.
const HeaderRequestID = "X-Request-Id"

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes one refusal to the caller.
type errorDetail struct {
	Type      outcome.Kind `json:"type"`
	Message   string       `json:"message"`
	Remedy    string       `json:"remedy"`
	Outcome   string       `json:"outcome"`
	RequestID string       `json:"request_id"`
}

// writeRefusal sends r as an HTTP response.
func writeRefusal(w http.ResponseWriter, requestID string, r *outcome.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(dataplane.HeaderOutcome, r.Outcome.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Type: r.Kind, Message: r.Message, Remedy: r.Remedy, Outcome: r.Outcome.String(), RequestID: requestID,
	}})
	if err != nil {
		http.Error(w, "the refusal could not be encoded", http.StatusInternalServerError)
		return
	}
	status := r.Status
	if status == 0 {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	// A write error is ignored, because the caller has disconnected.
	_, _ = w.Write(append(body, '\n'))
}

// ceilSeconds rounds up to whole seconds, because Retry-After has no fractions and an early retry would be refused again.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// asRefusal returns err as a refusal. An error of another type means that the request may have run.
func asRefusal(err error) *outcome.Refusal {
	if r, ok := outcome.AsRefusal(err); ok {
		return r
	}
	return &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the request failed", Remedy: "check the effect before repeating the request", Err: err,
	}
}
