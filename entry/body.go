package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// readBody reads the whole body within the size and time limits. This also reads the trailer, which must be checked for
// the secret before anything is sent.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	if r.Header.Get("Content-Encoding") != "" {
		return nil, newRefusal(outcome.KindInvalid, http.StatusUnsupportedMediaType, "the body has a Content-Encoding",
			"send the body without Content-Encoding")
	}
	control := http.NewResponseController(w)
	deadline := time.Now().Add(e.settings.BodyTimeout.D())
	if err := control.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, invalidRequest("the connection failed", "repeat the request")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.settings.MaxBodyBytes)))
	if err != nil {
		return nil, e.bodyRefusal(err, deadline)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, invalidRequest("the connection failed", "repeat the request")
	}
	return body, nil
}

// bodyRefusal returns the refusal for an error while reading the body.
func (e *Entry) bodyRefusal(err error, deadline time.Time) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(outcome.KindPayloadTooLarge, http.StatusRequestEntityTooLarge,
			"the body is larger than "+strconv.Itoa(e.settings.MaxBodyBytes)+" bytes", "send a smaller body")
	}
	if !time.Now().Before(deadline) {
		return newRefusal(outcome.KindInvalid, http.StatusRequestTimeout, "the body did not arrive in time",
			"send the body within "+e.settings.BodyTimeout.D().String())
	}
	return invalidRequest("the body could not be read", "send a well-formed body")
}
