package upstreamcall

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Request is one attempt of a caller, or an item, on its way to an upstream.
type Request struct {
	// ID names the attempt; the upstream repeats it in its answer.
	ID string
	// Host, Method and Target (path and query) go to the upstream unchanged.
	Host, Method, Target string
	// Header holds the caller's headers without those that concern one connection or that the system sets itself.
	Header http.Header
	Body   []byte
	// Workspace is the name of the caller's workspace; empty on routes that are open to all.
	Workspace string
	// TimeLeft is what the upstream is given to work.
	TimeLeft time.Duration
	// Priority ranks requests at an engine, 0 first; NoPriority leaves it to the engine.
	Priority int
	// ResumeAfter is the id of the last event that is known already; 0 starts from the beginning.
	ResumeAfter int
	// MinVersion is checked against the version that the answer names; 0 accepts any.
	MinVersion int64
	Upstream   upstreams.Entry
}

// NoPriority leaves the rank of a request to the engine.
const NoPriority = -1
