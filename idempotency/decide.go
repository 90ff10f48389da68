package idempotency

// Decision says how to handle a request with an idempotency key.
type Decision int

const (
	// Send means that the key was not in use and the request may be sent.
	Send Decision = iota
	// Replay means that the stored response is returned.
	Replay
	// OutcomeUnknown means that an earlier request may have run and its response is not known.
	OutcomeUnknown
	// ResponseNotStored means that an earlier request ran, but its response was not stored.
	ResponseNotStored
	// ContentMismatch means that the key was used for a request with different content.
	ContentMismatch
)

// String returns the form used in log lines.
func (d Decision) String() string {
	return [...]string{"send", "replay", "unknown", "finished", "different"}[d]
}

// Decide compares a request with the existing row of its key. existing is nil if there was no row and the claim was
// written.
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
