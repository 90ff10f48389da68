package gateway

import (
	"context"
	"sync"
	"time"
)

// watchdog ends a run whose upstream is silent and does not answer when asked, or is silent for too long.
type watchdog struct {
	isResponsive func() bool
	abort        func()

	mu          sync.Mutex
	timer       *time.Timer
	lastEventAt time.Time
	stopped     bool
}

// newWatchdog starts to wait for the first event.
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

// eventReceived takes an event; the next one is awaited for the given time.
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

// onTimeout asks the upstream, and waits on if it answers.
func (w *watchdog) onTimeout() {
	w.mu.Lock()
	lastEventAt := w.lastEventAt
	w.mu.Unlock()
	alive := w.isResponsive()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped || w.lastEventAt != lastEventAt:
	case alive && time.Since(lastEventAt) < maxSilence:
		w.timer.Reset(eventTimeout)
	default:
		w.abort()
	}
}
