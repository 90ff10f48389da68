package main

// pendingError ends the program after the result of a change that is not yet in force everywhere was printed.
type pendingError struct{ message string }

// Error implements error.
func (e *pendingError) Error() string { return e.message }
