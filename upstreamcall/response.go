package upstreamcall

import (
	"io"
	"net/http"

	"github.com/radishshelf/radishshelf/httpstatus"
)

// Response is a response of an upstream that has started to arrive. The reader must close Body. If the body is cut off,
// reading it ends with an error other than io.EOF.
type Response struct {
	Status int
	// Header holds the headers to return to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, -1 if it is not known in advance.
	Length int64
	// Signed reports whether the response carries the upstream's signature, which is in Signature.
	Signed    bool
	Signature string
	// Framed reports whether the end of the body can be distinguished from a lost connection.
	Framed bool
	// Version is the weight version named by the response, 0 if it names none.
	Version int64
}

// Succeeded reports whether the response counts as a success once its body is complete: a 2xx with the upstream's
// signature, also one without content (204). 304 is no success; it says that what the caller has is still valid.
func (r *Response) Succeeded() bool { return httpstatus.IsSuccess(r.Status) && r.Signed }
