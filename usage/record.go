// Package usage counts finished requests for billing. Agents record and flush their usage, entries retain the records
// that an agent has not flushed in case it dies, and a sealer combines both into totals per window and workspace.
//
// Invariant: a record is identified by its agent incarnation and sequence number. It is counted at most once across all
// windows, whichever process delivers it.
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
	// FinishedAt assigns the record to a window; if it is zero, the record belongs to the window of the flush.
	FinishedAt time.Time `json:"finished_at,omitzero"`
}
