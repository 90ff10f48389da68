package trainerapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/radishshelf/radishshelf/outcome"
)

// readBody decodes the request body, which must be one JSON object without unknown fields.
func readBody(r *http.Request, value any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(value)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal(outcome.KindPayloadTooLarge, http.StatusRequestEntityTooLarge, "the body is too large",
			"send only the documented fields", err)
	case err != nil:
		return invalidRequest("invalid request body: "+err.Error(), "send one JSON object with the documented fields")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalidRequest("data follows the JSON object", "send one JSON object")
	}
	return nil
}
