package measure

import "time"

// Job is one request that is submitted to an engine.
type Job struct {
	ID string
	// Prompt holds the block hashes of the prompt, and PromptTokens is its length.
	Prompt       []uint64
	PromptTokens int
	// ResponseTokens is the actual length of the response, and EstimatedTokens the length that callers and agents
	// assume.
	ResponseTokens  int
	EstimatedTokens int64
	// StartDelay delays the start of decoding, as a stalled engine thread does.
	StartDelay time.Duration
	// Exclusive marks a job that must run alone on its engine.
	Exclusive bool
	// Done is called once when the job ends, unless it is cancelled; after a crash, the caller of Crash calls it.
	Done func(Result)

	started time.Time
	// decodeEnd and decodeStart are the values of the engine's step counter after the last and before the first token.
	decodeEnd   float64
	decodeStart float64
	decoding    bool
	ended       bool
}

// Result describes how a job ended.
type Result struct {
	// Failed means that the engine crashed.
	Failed bool
	// CachedTokens counts the prompt tokens that were found in the prefix cache.
	CachedTokens int
	// Version is the weight version when the job started to run.
	Version int64
}
