package roles

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// noAuthority is the Authority for a role that this process does not compete for.
type noAuthority struct{}

// MayAct implements Authority.
func (noAuthority) MayAct(time.Time) (int64, bool) { return 0, false }

// Guard implements Authority.
func (noAuthority) Guard() (hosting.Condition, bool) { return hosting.Condition{}, false }
