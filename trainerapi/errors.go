package trainerapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/outcome"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and how to proceed.
type ErrorDetail struct {
	Type      outcome.Kind `json:"type"`
	Message   string       `json:"message"`
	Remedy    string       `json:"remedy"`
	Outcome   string       `json:"outcome"`
	RequestID string       `json:"request_id"`
	// VoidLot and NextLot are set when a lot was skipped: pull after VoidLot to get NextLot.
	VoidLot int64 `json:"void_lot,omitempty"`
	NextLot int64 `json:"next_lot,omitempty"`
	// Acknowledged is set when a pull is out of sequence: pull after this lot.
	Acknowledged *int64 `json:"acknowledged,omitempty"`
}

func writeError(w http.ResponseWriter, requestID string, err error) {
	refusal := asRefusal(err)
	detail := ErrorDetail{
		Type: refusal.Kind, Message: refusal.Message, Remedy: refusal.Remedy, Outcome: refusal.Outcome.String(),
		RequestID: requestID,
	}
	var void *lots.VoidError
	if errors.As(err, &void) {
		detail.VoidLot, detail.NextLot = void.Number, void.Next
	}
	var sequence *lots.SequenceError
	if errors.As(err, &sequence) {
		detail.Acknowledged = &sequence.Acknowledged
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, refusal.Status, ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "the response could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the client has disconnected.
	_, _ = w.Write(append(body, '\n'))
}

// asRefusal converts an error of the lot store or the lot sequence to the refusal that the trainer receives.
func asRefusal(err error) *outcome.Refusal {
	if refusal, ok := outcome.AsRefusal(err); ok {
		return refusal
	}
	var void *lots.VoidError
	var sequence *lots.SequenceError
	switch {
	case errors.As(err, &void):
		return newRefusal(outcome.KindStale, http.StatusGone, void.Error(), "pull after the void lot", err)
	case errors.As(err, &sequence):
		return newRefusal(outcome.KindConflict, http.StatusConflict, sequence.Error(), "pull after the acknowledged lot", err)
	case errors.Is(err, lotstore.ErrUnknownTrainer):
		return newRefusal(outcome.KindNotFound, http.StatusNotFound, err.Error(), "ask the operator to create the trainer", err)
	}
	return storeDown(err)
}

// storeDown returns the refusal of a call whose store access failed. Only an unavailable store is certain not to have
// applied the call.
func storeDown(err error) *outcome.Refusal {
	refusal := newRefusal(outcome.KindStoreDown, http.StatusServiceUnavailable, "the store did not respond",
		"retry the call; it has no further effect if the first attempt took effect", err)
	refusal.RetryAfter = storeDownRetryAfter
	refusal.Outcome = outcome.MayHaveRun
	if hosting.IsKind(err, hosting.KindUnavailable) {
		refusal.Outcome = outcome.NotRun
	}
	return refusal
}

func newRefusal(kind outcome.Kind, status int, message, remedy string, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: kind, Outcome: outcome.NotRun, Status: status, Message: message, Remedy: remedy, Err: err,
	}
}

func invalidRequest(message, remedy string) *outcome.Refusal {
	return newRefusal(outcome.KindInvalid, http.StatusBadRequest, message, remedy, nil)
}

func unknownPath() *outcome.Refusal {
	return newRefusal(outcome.KindNotFound, http.StatusNotFound, "the path is unknown",
		"use /v1/trainers/<name>/pull, versions or status", nil)
}

func methodNotAllowed(method string) *outcome.Refusal {
	return newRefusal(outcome.KindMethodNotAllowed, http.StatusMethodNotAllowed, "the method is not allowed on this path",
		"use "+method, nil)
}
