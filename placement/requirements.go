package placement

// Requirements describes what a text needs from an engine.
type Requirements struct {
	// MinVersion is the oldest weight version that may generate the text.
	MinVersion int64
	// Newest is the weight version that is preferred for the text; 0 if there is no preference.
	Newest int64
	// Avoid is the ID of the engine where the last run of the text failed, or from which the text should move.
	Avoid string
	// Run is the memory that the text holds when it starts and is expected to need.
	Run Run
	// Long texts determine the duration of a step. They go to an engine that was slow when last observed only if they are
	// expected to be complete there earlier than elsewhere.
	Long bool
}
