package upstreamcall

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Request is one attempt to run a caller's request or a batch item at an upstream.
type Request struct {
	// ID identifies the attempt; the upstream repeats it in its response.
	ID string
	// Host, Method and Target (path and query) are passed to the upstream unchanged.
	Host, Method, Target string
	// Header holds the caller's headers, except hop-by-hop headers and those that the system sets itself.
	Header http.Header
	Body   []byte
	// Workspace is the name of the caller's workspace; empty on public routes.
	Workspace string
	// TimeLeft is the time that the upstream has to process the request.
	TimeLeft time.Duration
	// Priority is the rank of the request at an engine, 0 first; NoPriority leaves it to the engine.
	Priority int
	// ResumeAfter is the ID of the last event already received; 0 starts from the beginning.
	ResumeAfter int
	// MinVersion is the minimum weight version that the response may name; 0 accepts any.
	MinVersion int64
	Upstream   upstreams.Entry
}

// NoPriority leaves the priority of a request to the engine.
const NoPriority = -1
