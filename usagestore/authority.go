package usagestore

import (
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Authority tells whether this process holds role usage.
type Authority interface {
	MayAct(now time.Time) (term int64, ok bool)
	// Guard is the condition that makes a table write fail after the role was lost.
	Guard() (hosting.Condition, bool)
}

// ErrNotHolder is returned when the role was lost in the middle of a step. The new holder continues from the rows.
var ErrNotHolder = errors.New("role usage is held elsewhere; the holder continues from the rows")
