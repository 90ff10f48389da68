package batch

// Phase is the stage of an item in its processing.
type Phase int

const (
	// Waiting items wait to be sent to an upstream.
	Waiting Phase = iota
	// Running items generate their text.
	Running
	// Scoring items have a complete text and wait for its score.
	Scoring
	// Finished items have a result that is not listed yet.
	Finished
	// Listed items have a stored result at a fixed position.
	Listed
)
