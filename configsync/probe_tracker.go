package configsync

import (
	"sync"
	"time"
)

// probeTracker tracks the probes of one AwaitPropagation by the address of the peer. At most maxParallelCalls are in
// flight at a time. It is safe for concurrent use.
type probeTracker struct {
	mu        sync.Mutex
	inFlight  map[string]bool
	responses map[string]time.Time
}

func newProbeTracker() *probeTracker {
	return &probeTracker{inFlight: make(map[string]bool), responses: make(map[string]time.Time)}
}

// start reports whether a probe of the peer may be sent now and, if so, records it as in flight.
func (q *probeTracker) start(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight[address] || len(q.inFlight) >= maxParallelCalls {
		return false
	}
	q.inFlight[address] = true
	return true
}

// finish records the end of a probe and, if it was answered, the time of the response.
func (q *probeTracker) finish(address string, answered bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.inFlight, address)
	if answered {
		q.responses[address] = now
	}
}

// respondedAt returns when the peer last responded, and false if it has not responded.
func (q *probeTracker) respondedAt(address string) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, ok := q.responses[address]
	return at, ok
}
