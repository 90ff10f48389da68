package batch

// Limits bound the runs of the items of a job.
type Limits struct {
	// MaxFailures is the number of failed runs after which an item is abandoned.
	MaxFailures int
	// SingleVersion requires texts of one weight version.
	SingleVersion bool
	// Rate converts events into tokens; nil takes a usual value.
	Rate *TokenRate
}
