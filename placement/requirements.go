package placement

// Requirements is what a text needs of an engine.
type Requirements struct {
	// MinVersion is the oldest weight version that may make the text.
	MinVersion int64
	// Newest is the version that should make the text where there is a choice; 0 when any will do.
	Newest int64
	// Avoid is the engine at which the last run of the text failed, or from which it is to be moved.
	Avoid string
	// Run is what the text holds at its start, and what is expected to come.
	Run Run
	// Long texts decide when a step is over; they go to no engine of which it is not known whether it is slow.
	Long bool
}
