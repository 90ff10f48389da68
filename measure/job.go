package measure

import "time"

// Job is one request at an engine.
type Job struct {
	ID string
	// Prompt holds the block hashes of the prompt and PromptTokens its length.
	Prompt       []uint64
	PromptTokens int
	// ResponseTokens is the real length of the answer and Estimate what callers and agents assume.
	ResponseTokens  int
	EstimatedTokens int64
	// StartDelay delays the start of the answer, as a hanging engine thread does.
	StartDelay time.Duration
	// Exclusive jobs keep the engine from taking other work.
	Exclusive bool
	// Done is called once, unless the job is cancelled.
	Done func(Result)

	started time.Time
	// decodeEnd is the value of the engine's token counter at which the answer is complete.
	decodeEnd   float64
	decodeStart float64
	decoding    bool
	ended       bool
}

// Result is the end of a job.
type Result struct {
	// Failed means that the engine died.
	Failed bool
	// CachedTokens counts the prompt tokens that were in the prefix cache.
	CachedTokens int
	// Version is the weight version at the start of the answer.
	Version int64
}
