package agent

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// rateWindow is the time over which the generation rate is averaged.
const rateWindow = 5 * time.Second

// loadMeter estimates tokens still to come and the recent generation rate.
type loadMeter struct {
	mu      sync.Mutex
	pending int64
	started time.Time
	tokens  int64
	rate    float64
}

// expect adds the tokens that an admitted request may generate, or removes them with a negative value.
func (m *loadMeter) expect(tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending += tokens
}

// generated counts tokens that passed through.
func (m *loadMeter) generated(tokens int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	m.tokens += tokens
}

func (m *loadMeter) roll(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	if elapsed := now.Sub(m.started); elapsed >= rateWindow {
		m.rate = float64(m.tokens) / elapsed.Seconds()
		m.tokens = 0
		m.started = now
	}
}

func (m *loadMeter) snapshot(now time.Time) (pending int64, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	return max(m.pending, 0), m.rate
}

func (a *Agent) load() dataplane.Load {
	_, running, queued := a.admission.state()
	pending, rate := a.meter.snapshot(time.Now())
	return dataplane.Load{
		Running: running, Queued: queued, Slots: a.settings.Slots, PendingTokens: pending, TokensPerSecond: rate,
	}
}
