package roles

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Authority reports whether this process may act for a role.
type Authority interface {
	// MayAct returns the current term and true while this process may act for the role. Call it immediately before each
	// action with an external effect.
	MayAct(now time.Time) (term int64, ok bool)
	// Guard returns a condition that makes a table transaction fail after another process has acquired the role. It
	// returns false while the role is not held.
	Guard() (hosting.Condition, bool)
}
