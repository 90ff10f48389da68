package agent

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// rateWindow is the minimum period over which the generation rate is averaged.
const rateWindow = 5 * time.Second

// loadMeter estimates the tokens still to be generated and the recent generation rate.
type loadMeter struct {
	mu           sync.Mutex
	pending      int64
	windowStart  time.Time
	windowTokens int64
	rate         float64
}

// addPending adds the tokens that an admitted request is expected to generate; a negative value removes them.
func (m *loadMeter) addPending(tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending += tokens
}

// addGenerated counts tokens that were relayed.
func (m *loadMeter) addGenerated(tokens int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotateWindow(now)
	m.windowTokens += tokens
}

func (m *loadMeter) rotateWindow(now time.Time) {
	if m.windowStart.IsZero() {
		m.windowStart = now
	}
	if elapsed := now.Sub(m.windowStart); elapsed >= rateWindow {
		m.rate = float64(m.windowTokens) / elapsed.Seconds()
		m.windowTokens = 0
		m.windowStart = now
	}
}

func (m *loadMeter) snapshot(now time.Time) (pending int64, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotateWindow(now)
	return max(m.pending, 0), m.rate
}

func (a *Agent) load() dataplane.Load {
	_, running, queued := a.admission.state()
	pending, rate := a.meter.snapshot(time.Now())
	return dataplane.Load{
		Running: running, Queued: queued, Slots: a.settings.Slots, PendingTokens: pending, TokensPerSecond: rate,
	}
}
