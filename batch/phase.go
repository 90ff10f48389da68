package batch

// Phase is where an item stands.
type Phase int

const (
	// Waiting items want an upstream.
	Waiting Phase = iota
	// Running items generate their text.
	Running
	// Scoring items have their whole text and want a score.
	Scoring
	// Finished items have a result that is not listed yet.
	Finished
	// Listed items have a result at a position.
	Listed
)
