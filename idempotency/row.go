package idempotency

import (
	"net/http"
	"time"
)

// State is the state of a claimed request.
type State string

const (
	// Claimed requests may have been sent, and it is not known whether they ran.
	Claimed State = "claimed"
	// Done requests ran. Their response is stored unless there was none or it was too large.
	Done State = "done"
)

// Row is the value of a claim row.
type Row struct {
	State State `json:"state"`
	// Content is the ContentHash of the request.
	Content string `json:"content"`
	// Owner is unique to each claim. After a write with a lost reply, a process uses it to recognize its own claim.
	Owner string `json:"owner"`
	// Entry and RequestID identify the owner of the claim to operators.
	Entry     string `json:"entry"`
	RequestID string `json:"request_id"`
	// ClaimedAt is a time of the entry's clock. It is used only to decide when the row is deleted.
	ClaimedAt time.Time `json:"claimed_at"`
	Response  *Response `json:"answer,omitempty"`
}

// Response is a stored HTTP response.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
