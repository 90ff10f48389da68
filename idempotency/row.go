package idempotency

import (
	"net/http"
	"time"
)

// State is the progress of a claimed request.
type State string

const (
	// Claimed requests may have been sent; nothing is known about their effect.
	Claimed State = "claimed"
	// Done requests ran; their answer is stored unless it was too large.
	Done State = "done"
)

// Row is the value of a claim row.
type Row struct {
	State State `json:"state"`
	// Content identifies method, target and body of the request.
	Content string `json:"content"`
	// Owner is unique for each claim. It tells a process whether a write with a lost reply was its own.
	Owner string `json:"owner"`
	// Entry and RequestID name the holder of the claim for operators.
	Entry     string `json:"entry"`
	RequestID string `json:"request_id"`
	// ClaimedAt is by the clock of the entry; it only decides when the row is deleted.
	ClaimedAt time.Time `json:"claimed_at"`
	Response  *Response `json:"answer,omitempty"`
}

// Response is a stored answer.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
