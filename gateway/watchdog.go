package gateway

import (
	"context"
	"sync"
	"time"
)

// watchdog ends a run whose upstream is silent and does not answer when asked, or is silent for too long.
type watchdog struct {
	answers func() bool
	end     func()

	mu      sync.Mutex
	timer   *time.Timer
	heardAt time.Time
	stopped bool
}

// newWatchdog starts to wait for the first event.
func newWatchdog(ctx context.Context, first time.Duration, answers func() bool, end func()) *watchdog {
	w := &watchdog{answers: answers, end: end, heardAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() {
		if ctx.Err() == nil {
			w.silent()
		}
	})
	return w
}

// heard takes an event; the next one is awaited for the given time.
func (w *watchdog) heard(next time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = time.Now()
	w.timer.Reset(next)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// silent asks the upstream, and waits on if it answers.
func (w *watchdog) silent() {
	w.mu.Lock()
	heardAt := w.heardAt
	w.mu.Unlock()
	alive := w.answers()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped || w.heardAt != heardAt:
	case alive && time.Since(heardAt) < maxSilence:
		w.timer.Reset(eventTimeout)
	default:
		w.end()
	}
}
