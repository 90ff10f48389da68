package engine

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// lagged answers status calls with a snapshot that is refreshed at most once per lag.
type lagged struct {
	mu   sync.Mutex
	lag  time.Duration
	read func() engineapi.Status
	last engineapi.Status
	at   time.Time
}

func newLagged(lag time.Duration, read func() engineapi.Status) *lagged {
	return &lagged{lag: lag, read: read}
}

func (l *lagged) get(now time.Time) engineapi.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag == 0 || l.at.IsZero() || now.Sub(l.at) >= l.lag {
		l.last = l.read()
		l.at = now
	}
	return l.last
}
