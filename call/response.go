package call

import (
	"io"
	"net/http"

	"github.com/radishshelf/radishshelf/batch"
)

// Response is the service's response to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body; it is not used when Stream is set.
	Body []byte
	// Stream writes the body incrementally; flush sends what has been written. If it returns an error, the caller's
	// connection must be aborted, so that the response does not appear complete.
	Stream func(w io.Writer, flush func()) error
	// Upstream is the upstream that responded, empty if the service itself did. Sends is the number of times the
	// request was sent to an upstream.
	Upstream string
	Sends    int
}

// ResultPage is one page of the results of a batch job.
type ResultPage struct {
	// Total is the number of items of the job.
	Total   int
	Results []batch.Result
	// Next is the position after the last result.
	Next int
}
