package call

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// ID names the attempt.
	ID string
	// Host and Path select the route; Target is the path with the query as it was sent.
	Host, Method, Path, Target string
	// Header holds the headers that may go on to an upstream.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty when none was sent.
	Key string
	// Timeout is how long the caller waits from Received on; 0 when it did not say.
	Timeout  time.Duration
	Received time.Time
	// ResumeAfter is the id of the last event that the caller has; 0 for a new stream.
	ResumeAfter int
}

// BatchRequest asks about a batch job.
type BatchRequest struct {
	// ID names the job.
	ID string
	// Host and Key say who asks.
	Host, Key string
	// Item names an item, for its body.
	Item string
	// After is the position of the first result wanted, and Wait how long to wait for one.
	After int
	Wait  time.Duration
}
