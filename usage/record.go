// Package usage counts finished requests for billing: the agent records and flushes them, the entries retain what a
// dead agent had not flushed, and the sealing step turns both into one set of figures per window and workspace.
//
// Invariant: a record is identified by its agent incarnation and sequence number and is counted at most once, over all
// windows and whichever process delivered it.
package usage

import "time"

// Record is the usage of one finished request.
type Record struct {
	// Seq numbers the records of one agent incarnation from 1 without gaps.
	Seq              int64  `json:"seq"`
	RequestID        string `json:"request_id"`
	Workspace        string `json:"workspace"`
	Policy           string `json:"policy,omitempty"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	// FinishedAt assigns the record to a window; the window of the flush applies when it is zero.
	FinishedAt time.Time `json:"finished_at,omitzero"`
}
