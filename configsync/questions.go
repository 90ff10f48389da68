package configsync

import (
	"sync"
	"time"
)

// probeTracker are the calls of one AwaitPropagation, by address of the peer. At most maxParallelCalls are open at a time. It
// is safe for concurrent use.
type probeTracker struct {
	mu       sync.Mutex
	inFlight map[string]bool
	answered map[string]time.Time
}

func newProbeTracker() *probeTracker {
	return &probeTracker{inFlight: make(map[string]bool), answered: make(map[string]time.Time)}
}

// start reports whether the peer may be asked now, and counts the question as start from then on.
func (q *probeTracker) start(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight[address] || len(q.inFlight) >= maxParallelCalls {
		return false
	}
	q.inFlight[address] = true
	return true
}

// finish ends a question.
func (q *probeTracker) finish(address string, answered bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.inFlight, address)
	if answered {
		q.answered[address] = now
	}
}

// answeredAt is when the peer last answered.
func (q *probeTracker) answeredAt(address string) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, ok := q.answered[address]
	return at, ok
}
