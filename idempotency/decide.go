package idempotency

// Decision says what to do with a request whose key has a row.
type Decision int

const (
	// Send the request; the claim is new.
	Send Decision = iota
	// Replay the stored answer.
	Replay
	// OutcomeUnknown means that the first request may have run and its answer is not known.
	OutcomeUnknown
	// ResponseNotStored means that the first request ran and its answer was not kept.
	ResponseNotStored
	// ContentMismatch means that the key was used for another request.
	ContentMismatch
)

// String returns the form used in log lines.
func (d Decision) String() string {
	return [...]string{"send", "replay", "unknown", "finished", "different"}[d]
}

// Decide compares a request with the row that its key has. A nil row means that the claim was written.
func Decide(existing *Row, content string) Decision {
	switch {
	case existing == nil:
		return Send
	case existing.Content != content:
		return ContentMismatch
	case existing.State != Done:
		return OutcomeUnknown
	case existing.Response == nil:
		return ResponseNotStored
	default:
		return Replay
	}
}
