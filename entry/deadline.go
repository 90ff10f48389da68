package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// HeaderRequestTimeout is the header for the timeout of a request, in seconds or with a unit ("30", "1500ms").
const HeaderRequestTimeout = "X-Request-Timeout"

// requestTimeout returns the timeout of a request: that of its header, or the default. It is at most MaxTimeout.
func (e *Entry) requestTimeout(h http.Header, limits fleetconfig.Defaults) (time.Duration, *outcome.Refusal) {
	text := h.Get(HeaderRequestTimeout)
	if text == "" {
		timeout := time.Duration(limits.RequestTimeoutMs) * time.Millisecond
		if e.settings.DefaultTimeout > 0 {
			timeout = e.settings.DefaultTimeout.D()
		}
		return min(timeout, e.settings.MaxTimeout.D()), nil
	}
	timeout, err := time.ParseDuration(text)
	if seconds, numErr := strconv.ParseFloat(text, 64); numErr == nil {
		timeout, err = time.Duration(seconds*float64(time.Second)), nil
	}
	if err != nil || timeout <= 0 {
		return 0, invalidRequest("X-Request-Timeout is not a positive duration", `write seconds or a unit, for example "30" or "1500ms"`)
	}
	return min(timeout, e.settings.MaxTimeout.D()), nil
}
