package lots

import (
	"errors"
	"fmt"
)

// ErrNotReady means that too few samples are ready to form a lot.
var ErrNotReady = errors.New("not enough samples are ready for a lot; pull again later")

// VoidError means that the next lot was skipped because a sample in it exceeded the staleness bound before it was
// acknowledged.
type VoidError struct {
	// Number is the void lot. The trainer pulls after it to get lot Next.
	Number int64
	Next   int64
}

// Error implements error.
func (e *VoidError) Error() string {
	return fmt.Sprintf("lot %d is void because a sample in it became stale; pull after %d to get lot %d", e.Number, e.Number, e.Next)
}

// SequenceError means that a pull named a lot number outside the range from the last acknowledged to the last formed
// lot.
type SequenceError struct {
	After        int64
	Acknowledged int64
	// Last is the number of the last lot formed.
	Last int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	if e.After < e.Acknowledged {
		return fmt.Sprintf("pull after lot %d, but lots up to %d are acknowledged; pull after %d", e.After, e.Acknowledged, e.Acknowledged)
	}
	return fmt.Sprintf("pull after lot %d, but the last lot is %d; pull after %d", e.After, e.Last, e.Acknowledged)
}
