package entry

import (
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
)

const (
	// localSuspectTTL covers the time until the heartbeat of an agent names the requests that ran when its upstream died.
	localSuspectTTL = 3 * time.Second
	// maxLocalSuspects bounds the requests that are held as suspects before an agent has named them.
	maxLocalSuspects = 4096
)

// localSuspect is a request whose upstream failed while it ran, as this entry saw it.
type localSuspect struct {
	until time.Time
	// repeated is set when it was a suspect already and ran alone.
	repeated bool
}

// checkQuarantine says how a request may run. A request whose upstream has just failed counts as a suspect at once, and one
// that failed once more as a suspect is refused: waiting for the agent's heartbeat would let it take the next upstream with
// it.
func (f *Fleet) checkQuarantine(fingerprint string, now time.Time) quarantine.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict := f.quarantine.Check(fingerprint, now)
	local, suspect := f.suspects[fingerprint]
	if verdict.Action == quarantine.Refuse || !suspect || !now.Before(local.until) {
		return verdict
	}
	verdict.Action, verdict.Remaining = quarantine.RunAlone, max(verdict.Remaining, local.until.Sub(now))
	if local.repeated {
		verdict.Action, verdict.Remaining = quarantine.Refuse, local.until.Sub(now)
	}
	return verdict
}

// addSuspect notes that the upstream of a request failed while it ran. again tells that the request was a addSuspect before.
func (f *Fleet) addSuspect(fingerprint string, repeated bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.suspects) >= maxLocalSuspects {
		f.pruneSuspects(now)
	}
	f.suspects[fingerprint] = localSuspect{until: now.Add(localSuspectTTL), repeated: repeated}
}

// pruneSuspects forgets those whose time is over, or all when none is; agents name the real ones soon.
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
