package entry

import (
	"sync"
	"time"
)

// keyUse records when each key was last accepted. Only configured keys are recorded, so that callers cannot make it grow.
type keyUse struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (u *keyUse) record(keyID string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last == nil {
		u.last = map[string]time.Time{}
	}
	u.last[keyID] = now
}

// LastUse returns when a key was last accepted by this entry.
func (e *Entry) LastUse(keyID string) (time.Time, bool) {
	e.keyUse.mu.Lock()
	defer e.keyUse.mu.Unlock()
	at, ok := e.keyUse.last[keyID]
	return at, ok
}

// Decision returns the Explanation of a recent request of this entry; it can be encoded as JSON.
func (e *Entry) Decision(requestID string) (any, bool) {
	found, ok := e.Explain(requestID)
	return found, ok
}
