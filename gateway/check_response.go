package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// checkSigned returns a failure if a response claims success without the signature of an upstream.
func checkSigned(response *upstreamcall.Response) *upstreamcall.Failure {
	if httpstatus.IsSuccess(response.Status) && !response.Succeeded() {
		return &upstreamcall.Failure{
			Reason: upstreamcall.Crossed, Outcome: outcome.MayHaveRun, Err: errors.New("successful response without a signature"),
		}
	}
	return nil
}

// contentHeaders describe how a body is read. They must be the same in all responses that make up one stream.
var contentHeaders = []string{"Content-Type", "Content-Encoding"}

// headerValue returns the first value of a header in lower case and without its parameters.
func headerValue(header http.Header, name string) string {
	value, _, _ := strings.Cut(header.Get(name), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// checkContinuation returns a failure unless a response continues a stream of events whose header the caller already
// has. Nothing of any other response, such as the body of an error, may reach the caller.
func checkContinuation(header http.Header, response *upstreamcall.Response) *upstreamcall.Failure {
	if response.Status != http.StatusOK {
		return &upstreamcall.Failure{
			Reason: upstreamcall.Failed, Outcome: outcome.Ran,
			Err: fmt.Errorf("upstream responded to a resumed stream with status %d", response.Status),
		}
	}
	if failure := checkSigned(response); failure != nil {
		return failure
	}
	for _, name := range contentHeaders {
		if got, want := headerValue(response.Header, name), headerValue(header, name); got != want {
			return &upstreamcall.Failure{
				Reason: upstreamcall.Crossed, Outcome: outcome.Ran,
				Err: fmt.Errorf("%s %q of a resumed stream, want %q", name, got, want),
			}
		}
	}
	return nil
}
