package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/radishshelf/radishshelf/hosting"
)

// jsonHandler returns a handler that decodes a JSON request, calls serve and encodes its result. op names the call in
// errors.
func jsonHandler[Q, A any](op string, serve func(context.Context, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Q
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSONBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&request); err != nil {
			writeError(w, invalidRequest(op, err))
			return
		}
		response, err := serve(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response) // fails only if the client has disconnected
	})
}

func invalidRequest(op string, err error) error {
	return &hosting.Error{Kind: hosting.KindInvalid, Op: op, Err: err, Remedy: "correct the request"}
}

// writeError sends err as an error response. For KindUnknown, a lost reply, it aborts the connection instead, so that
// the client has to classify the failure as in production.
func writeError(w http.ResponseWriter, err error) {
	if hosting.IsKind(err, hosting.KindUnknown) {
		panic(http.ErrAbortHandler)
	}
	body := errorBody{Kind: hosting.KindUnavailable, Message: err.Error()}
	var typedErr *hosting.Error
	if errors.As(err, &typedErr) {
		body = errorBody{Kind: typedErr.Kind, Op: typedErr.Op, Remedy: typedErr.Remedy}
		if typedErr.Err != nil {
			body.Message = typedErr.Err.Error()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(body.Kind))
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func statusOf(kind hosting.ErrorKind) int {
	switch kind {
	case hosting.KindNotFound:
		return http.StatusNotFound
	case hosting.KindConflict:
		return http.StatusConflict
	case hosting.KindFenced:
		return http.StatusPreconditionFailed
	case hosting.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
