package measure

import "time"

// Job is one request at an engine.
type Job struct {
	ID string
	// Prompt holds the block hashes of the prompt and PromptTokens its length.
	Prompt       []uint64
	PromptTokens int
	// Tokens is the real length of the answer and Estimate what callers and agents assume.
	Tokens   int
	Estimate int64
	// Stall delays the start of the answer, as a hanging engine thread does.
	Stall time.Duration
	// Exclusive jobs keep the engine from taking other work.
	Exclusive bool
	// Done is called once, unless the job is cancelled.
	Done func(Finished)

	started time.Time
	// finish is the value of the engine's token counter at which the answer is complete.
	finish  float64
	begin   float64
	decodes bool
	gone    bool
}

// Finished is the end of a job.
type Finished struct {
	// Failed means that the engine died.
	Failed bool
	// Cached counts the prompt tokens that were in the prefix cache.
	Cached int
	// Version is the weight version at the start of the answer.
	Version int64
}
