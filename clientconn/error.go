package clientconn

import "fmt"

// EndError is the error of a response without a length whose connection ended before its request had been sent.
type EndError struct {
	// Err is why the request could not be sent.
	Err error
}

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("connection ended before the request was sent: %v; treat the response as cut off", e.Err)
}

// Unwrap returns why the request could not be sent.
func (e *EndError) Unwrap() error { return e.Err }
