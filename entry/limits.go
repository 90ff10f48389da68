package entry

import (
	"net/http"
	"sync"

	"github.com/radishshelf/radishshelf/outcome"
)

// requestLimiter limits the requests in progress and counts them.
type requestLimiter struct {
	mu    sync.Mutex
	limit int
	count int
}

func (l *requestLimiter) acquire() *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.limit {
		return newRetryableRefusal(outcome.KindOverloaded, http.StatusServiceUnavailable, "this entry has too many requests in progress",
			"repeat the request", retryAfterBusy)
	}
	l.count++
	return nil
}

func (l *requestLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count--
}

func (l *requestLimiter) inProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}
