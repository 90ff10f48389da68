package roles

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Authority tells whether this process may act for a role.
type Authority interface {
	// MayAct returns the term and true while this process may act. Call it directly before each outward action.
	MayAct(now time.Time) (term int64, ok bool)
	// Guard returns the condition that makes a table transaction fail once another process took the role over.
	// It is false while the role is not held.
	Guard() (hosting.Condition, bool)
}
