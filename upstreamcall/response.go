package upstreamcall

import (
	"io"
	"net/http"
)

// Response is the answer of an upstream that began to arrive. The reader closes Body; a body that breaks off ends with an
// error other than io.EOF.
type Response struct {
	Status int
	// Header holds what goes back to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, -1 when it is not known in advance.
	Length int64
	// Signed reports whether the answer bears the upstream's signature. Signature holds it.
	Signed    bool
	Signature string
	// Framed reports whether the end of the body can be told from a lost connection.
	Framed bool
	// Version is the weight version that the answer names, 0 when it names none.
	Version int64
}
