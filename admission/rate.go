package admission

import "time"

// rateMeter measures the service rate from finished work, over intervals during which items were queued.
type rateMeter struct {
	interval      time.Duration
	rate          float64
	intervalStart time.Time
	tokens        int64
	backlogged    bool
}

// rateSmoothing is the weight of the newest interval in the moving average; with a third, the rate follows a change
// within a few intervals.
const rateSmoothing = 1.0 / 3

// add adds the tokens of a finished item. They count only while items are queued.
func (m *rateMeter) add(tokens int64, now time.Time) {
	if m.backlogged {
		m.tokens += tokens
	}
	m.closeInterval(now)
}

// setBacklogged sets whether items are queued. Intervals without queued items do not show the largest possible rate and
// are discarded.
func (m *rateMeter) setBacklogged(backlogged bool, now time.Time) {
	if backlogged == m.backlogged {
		return
	}
	m.backlogged = backlogged
	m.intervalStart = now
	m.tokens = 0
}

// closeInterval updates the rate at the end of an interval and starts the next one.
func (m *rateMeter) closeInterval(now time.Time) {
	elapsed := now.Sub(m.intervalStart)
	if !m.backlogged || elapsed < m.interval {
		return
	}
	if measured := float64(m.tokens) / elapsed.Seconds(); measured > 0 {
		m.rate += rateSmoothing * (measured - m.rate)
	}
	m.intervalStart = now
	m.tokens = 0
}
