package call

import (
	"io"
	"net/http"

	"github.com/radishshelf/radishshelf/batch"
)

// Response is what a caller gets.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, unless Stream is set.
	Body []byte
	// Stream writes the body piece by piece; flush sends what was written. After an error the caller's connection has to
	// be broken off, so that the answer does not look complete.
	Stream func(w io.Writer, flush func()) error
	// Upstream is the one that answered, empty for an answer of the service's own, and Sends how often the request was
	// sent to an upstream.
	Upstream string
	Sends    int
}

// ResultPage is a part of the results of a batch job.
type ResultPage struct {
	// Total is the number of items of the job.
	Total   int
	Results []batch.Result
	// Next is the position after the last result.
	Next int
}
