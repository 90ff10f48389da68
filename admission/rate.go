package admission

import "time"

// meter measures the service rate from finished work, over whole intervals in which the window was in use.
type meter struct {
	interval time.Duration
	rate     float64
	since    time.Time
	tokens   int64
	busy     bool
}

// smoothing is the weight of the newest interval; a third follows a change within a few intervals.
const smoothing = 1.0 / 3

// done adds finished tokens.
func (m *meter) done(tokens int64, now time.Time) {
	if m.busy {
		m.tokens += tokens
	}
	m.roll(now)
}

// setBusy tells the meter whether requests are waiting. Intervals without waiting requests say nothing about the
// largest rate and are dropped.
func (m *meter) setBusy(busy bool, now time.Time) {
	if busy == m.busy {
		return
	}
	m.busy = busy
	m.since = now
	m.tokens = 0
}

func (m *meter) roll(now time.Time) {
	elapsed := now.Sub(m.since)
	if !m.busy || elapsed < m.interval {
		return
	}
	if measured := float64(m.tokens) / elapsed.Seconds(); measured > 0 {
		m.rate += smoothing * (measured - m.rate)
	}
	m.since = now
	m.tokens = 0
}
