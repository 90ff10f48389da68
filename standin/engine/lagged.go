package engine

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// laggedStatus caches the status and refreshes it at most once per lag, to simulate delayed reports.
type laggedStatus struct {
	mu          sync.Mutex
	lag         time.Duration
	read        func() engineapi.Status
	last        engineapi.Status
	refreshedAt time.Time
}

func newLaggedStatus(lag time.Duration, read func() engineapi.Status) *laggedStatus {
	return &laggedStatus{lag: lag, read: read}
}

func (l *laggedStatus) get(now time.Time) engineapi.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag == 0 || l.refreshedAt.IsZero() || now.Sub(l.refreshedAt) >= l.lag {
		l.last = l.read()
		l.refreshedAt = now
	}
	return l.last
}
