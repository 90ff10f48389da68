package httpstatus

import (
	"fmt"
	"net/http"
	"strings"
)

// Bounds of the statuses that a final response may have: the classes 2xx to 5xx of RFC 9110.
const (
	minFinal = http.StatusOK
	maxFinal = 599
)

// Error is the error of a response whose status or header cannot end its request. The request may have run.
type Error struct {
	// Status is the status as received, or what identifies the response otherwise.
	Status string
	// Reason says what is wrong with it.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("status %q %s; treat the request as one without a response", e.Status, e.Reason)
}

// Check returns nil if a response may be the final one to its request, and otherwise an *Error.
func Check(resp *http.Response) error {
	status := statusOf(resp)
	reason := checkHeader(resp.Header)
	switch {
	case !IsFinal(resp.StatusCode):
		return &Error{Status: status, Reason: "is of no class of final responses"}
	case resp.StatusCode == http.StatusNotModified && resp.Request != nil && !isConditional(resp.Request.Header):
		return &Error{Status: status, Reason: "answers a request without a condition"}
	case reason != "":
		return &Error{Status: status, Reason: reason}
	default:
		return nil
	}
}

// statusOf returns the status of a response as received.
func statusOf(resp *http.Response) string {
	status, _, _ := strings.Cut(resp.Status, " ")
	return status
}

// IsFinal reports whether a final response may have a status.
func IsFinal(status int) bool { return status >= minFinal && status <= maxFinal }

// IsSuccess reports whether a status says that the request succeeded. 304 does not: it has no content of its own.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isConditional reports whether a request with a header may be answered with status 304.
func isConditional(header http.Header) bool {
	return header.Get("If-None-Match") != "" || header.Get("If-Modified-Since") != ""
}
