package gateway

import (
	"context"
	"sync"
	"time"
)

// watchdog aborts a run whose upstream sends no event and does not respond to a probe, or sends no event for
// maxSilence.
type watchdog struct {
	isResponsive func() bool
	abort        func()

	mu          sync.Mutex
	timer       *time.Timer
	lastEventAt time.Time
	stopped     bool
}

// newWatchdog returns a watchdog that waits for the first event for the given time.
func newWatchdog(ctx context.Context, first time.Duration, isResponsive func() bool, abort func()) *watchdog {
	w := &watchdog{isResponsive: isResponsive, abort: abort, lastEventAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() {
		if ctx.Err() == nil {
			w.onTimeout()
		}
	})
	return w
}

// eventReceived restarts the timer after an event; the next event is expected within the given time.
func (w *watchdog) eventReceived(next time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventAt = time.Now()
	w.timer.Reset(next)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// onTimeout probes the upstream, and keeps waiting if it responds.
func (w *watchdog) onTimeout() {
	w.mu.Lock()
	lastEventAt := w.lastEventAt
	w.mu.Unlock()
	responsive := w.isResponsive()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped || w.lastEventAt != lastEventAt:
	case responsive && time.Since(lastEventAt) < maxSilence:
		w.timer.Reset(eventTimeout)
	default:
		w.abort()
	}
}
