package httpstatus

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
)

// maxInterim is the maximum number of interim responses to one request. Servers send one or two; net/http bounds the
// size of each of them, but no longer their number once they are checked.
const maxInterim = 16

// withInterimCheck returns a context whose request, sent by net/http, fails with an *Error if its upstream sends an
// interim response (1xx) that is none.
func withInterimCheck(ctx context.Context) context.Context {
	received := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			received++
			return checkInterim(status, http.Header(header), received)
		},
	})
}

// checkInterim checks the n-th interim response to a request. One with a length is meant as the final response, which
// net/http would wait for until the deadline; it fails by itself on the body of one with chunks.
func checkInterim(status int, header http.Header, n int) error {
	switch {
	case n > maxInterim:
		return &Error{Status: strconv.Itoa(status), Reason: "is one interim response too many"}
	case header.Get("Content-Length") != "" && !isKnownInterim(status):
		return &Error{Status: strconv.Itoa(status), Reason: "is interim although the response has a body"}
	}
	if reason := checkHeader(header); reason != "" {
		return &Error{Status: strconv.Itoa(status), Reason: reason}
	}
	return nil
}

// isKnownInterim reports whether a status is registered for interim responses, so that a needless length says nothing.
func isKnownInterim(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}
