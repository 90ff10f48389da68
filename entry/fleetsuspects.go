package entry

import (
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
)

const (
	// suspectHold covers the time until the heartbeat of an agent names the requests that ran when its upstream died.
	suspectHold = 3 * time.Second
	// maxLocalSuspects bounds the requests that are held as suspects before an agent has named them.
	maxLocalSuspects = 4096
)

// checkQuarantine says how a request may run. A request whose upstream has just failed counts as a suspect at once:
// waiting for the agent's heartbeat would let it take the next upstream with it.
func (f *Fleet) checkQuarantine(fingerprint string, now time.Time) quarantine.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict := f.quarantine.Check(fingerprint, now)
	until, suspect := f.suspects[fingerprint]
	if verdict.Action == quarantine.Run && suspect && now.Before(until) {
		return quarantine.Verdict{Action: quarantine.RunAlone, Remaining: until.Sub(now)}
	}
	return verdict
}

// suspect notes that the upstream of a request failed while it ran.
func (f *Fleet) suspect(fingerprint string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.suspects) >= maxLocalSuspects {
		f.dropSuspects(now)
	}
	f.suspects[fingerprint] = now.Add(suspectHold)
}

// dropSuspects forgets those whose time is over, or all when none is; agents name the real ones soon.
func (f *Fleet) dropSuspects(now time.Time) {
	for fingerprint, until := range f.suspects {
		if !now.Before(until) {
			delete(f.suspects, fingerprint)
		}
	}
	if len(f.suspects) >= maxLocalSuspects {
		clear(f.suspects)
	}
}
