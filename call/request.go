package call

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// ID identifies the attempt.
	ID string
	// Host and Path select the route; Target is the path with the query as it was sent.
	Host, Method, Path, Target string
	// Header holds the headers that may be forwarded to an upstream.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, empty when none was sent.
	Key string
	// Timeout is how long the caller waits, counted from Received; 0 when the caller did not specify it.
	Timeout time.Duration
	// Received is when the request arrived.
	Received time.Time
	// ResumeAfter is the ID of the last event that the caller has received; 0 for a new stream.
	ResumeAfter int
}

// BatchRequest is a caller's query about a batch job.
type BatchRequest struct {
	// ID identifies the job.
	ID string
	// Host and Key identify the caller: the requested host name and the API key.
	Host, Key string
	// Item is the ID of the item whose body is requested.
	Item string
	// After is the position of the first result to return, and Wait how long to wait for one.
	After int
	Wait  time.Duration
}
