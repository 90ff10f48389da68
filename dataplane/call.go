package dataplane

import (
	"net/http"
	"time"
)

// Call is one attempt of a request at one agent.
type Call struct {
	// Address is the data address of the agent, host:port.
	Address   string
	RequestID string
	// Attempt counts the attempts of a request from 1.
	Attempt   int
	Workspace string
	Policy    string
	// Timeout is the time left until the deadline.
	Timeout time.Duration
	// Method and Target are the method and request URI for the upstream.
	Method string
	Target string
	// Idempotent requests may be repeated; Exclusive ones must run alone on their upstream.
	Idempotent bool
	Exclusive  bool
	// Sample is set when the response becomes a training sample.
	Sample      bool
	Fingerprint string
	// Priority is the engine priority; lower values run first.
	Priority int
	// Header holds the forwarded headers; the client adds its own headers to a copy.
	Header http.Header
	Body   []byte
}
