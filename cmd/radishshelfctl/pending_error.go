package main

// pendingError reports a change that is not yet in force at every entry. Its message has been printed with the result.
type pendingError struct{ message string }

// Error implements error.
func (e *pendingError) Error() string { return e.message }
