package idempotency

// Verdict says what to do with a request whose key has a row.
type Verdict int

const (
	// Send the request; the claim is new.
	Send Verdict = iota
	// Replay the stored answer.
	Replay
	// Unknown means that the first request may have run and its answer is not known.
	Unknown
	// Finished means that the first request ran and its answer was not kept.
	Finished
	// Different means that the key was used for another request.
	Different
)

// String returns the form used in log lines.
func (v Verdict) String() string {
	return [...]string{"send", "replay", "unknown", "finished", "different"}[v]
}

// Decide compares a request with the row that its key has. A nil row means that the claim was written.
func Decide(existing *Row, content string) Verdict {
	switch {
	case existing == nil:
		return Send
	case existing.Content != content:
		return Different
	case existing.State != Done:
		return Unknown
	case existing.Answer == nil:
		return Finished
	default:
		return Replay
	}
}
