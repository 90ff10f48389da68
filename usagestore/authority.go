package usagestore

import (
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Authority reports whether this process holds role usage.
type Authority interface {
	MayAct(now time.Time) (term int64, ok bool)
	// Guard returns the condition that makes a table write fail once the role is lost.
	Guard() (hosting.Condition, bool)
}

// ErrNotHolder is returned if the role is lost during a step. The new holder continues from the rows in the table.
var ErrNotHolder = errors.New("role usage is held by another process, which continues from the rows in the table")
