package entry

import (
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
)

const (
	// localSuspectTTL covers the time until the agent's heartbeat reports the requests that ran when its upstream died.
	localSuspectTTL = 3 * time.Second
	// maxLocalSuspects limits the requests that are suspects before an agent has reported them.
	maxLocalSuspects = 4096
)

// localSuspect is a request whose upstream failed while running it, or that an agent refused as a suspect, as observed by this
// entry.
type localSuspect struct {
	until time.Time
	// repeated is set if the request was already a suspect and ran exclusively.
	repeated bool
}

// checkQuarantine returns how a request may run. A request whose upstream has just failed is a suspect at once, and one
// that fails again as a suspect is refused: until the agent's heartbeat arrives, it could crash another upstream. The same
// holds for a request that an agent refused as a suspect: this entry and other agents may not know of it yet.
func (f *Fleet) checkQuarantine(fingerprint string, now time.Time) quarantine.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	decision := f.quarantine.Check(fingerprint, now)
	local, suspect := f.suspects[fingerprint]
	if decision.Action == quarantine.Refuse || !suspect || !now.Before(local.until) {
		return decision
	}
	decision.Action, decision.Remaining = quarantine.RunAlone, max(decision.Remaining, local.until.Sub(now))
	if local.repeated {
		decision.Action, decision.Remaining = quarantine.Refuse, local.until.Sub(now)
	}
	return decision
}

// addSuspect records for the duration ttl that a request is a suspect. repeated is set if the request was already one and ran
// exclusively.
func (f *Fleet) addSuspect(fingerprint string, repeated bool, ttl time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.suspects) >= maxLocalSuspects {
		f.pruneSuspects(now)
	}
	f.suspects[fingerprint] = localSuspect{until: now.Add(ttl), repeated: repeated}
}

// pruneSuspects drops the expired suspects, or all if none has expired: the agents report the actual suspects soon. The
// caller must hold the lock.
func (f *Fleet) pruneSuspects(now time.Time) {
	for fingerprint, local := range f.suspects {
		if !now.Before(local.until) {
			delete(f.suspects, fingerprint)
		}
	}
	if len(f.suspects) >= maxLocalSuspects {
		clear(f.suspects)
	}
}
