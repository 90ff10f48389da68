package configsync

import (
	"sync"
	"time"
)

// questions are the calls of one AwaitPropagation, by address of the peer. At most maxParallelCalls are open at a time. It
// is safe for concurrent use.
type questions struct {
	mu       sync.Mutex
	pending  map[string]bool
	answered map[string]time.Time
}

func newQuestions() *questions {
	return &questions{pending: make(map[string]bool), answered: make(map[string]time.Time)}
}

// open reports whether the peer may be asked now, and counts the question as open from then on.
func (q *questions) open(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[address] || len(q.pending) >= maxParallelCalls {
		return false
	}
	q.pending[address] = true
	return true
}

// close ends a question.
func (q *questions) close(address string, answered bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, address)
	if answered {
		q.answered[address] = now
	}
}

// answeredAt is when the peer last answered.
func (q *questions) answeredAt(address string) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, ok := q.answered[address]
	return at, ok
}
