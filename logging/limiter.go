package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxLinesPerSecond bounds the lines of one event. A busy process decides on fewer than a hundred requests a second.
const maxLinesPerSecond = 200

// Limiter drops lines of an event beyond maxLinesPerSecond and counts them; the next line of the event names their number.
type Limiter struct {
	mu     sync.Mutex
	events map[string]*eventCount
	now    func() time.Time
}

type eventCount struct {
	second     int64
	lines      int
	suppressed int
}

// NewLimiter returns a limiter for all events of one process.
func NewLimiter() *Limiter { return &Limiter{events: map[string]*eventCount{}, now: time.Now} }

// Run implements zerolog.Hook.
func (l *Limiter) Run(e *zerolog.Event, _ zerolog.Level, message string) {
	suppressed, ok := l.allow(message)
	if !ok {
		e.Discard()
		return
	}
	if suppressed > 0 {
		e.Int("suppressed", suppressed)
	}
}

// allow counts a line. It returns the lines that were dropped before it, and false for one to drop.
func (l *Limiter) allow(message string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.events[message]
	if !known {
		c = &eventCount{}
		l.events[message] = c
	}
	if second := l.now().Unix(); second != c.second {
		suppressed = c.suppressed
		*c = eventCount{second: second}
	}
	if c.lines++; c.lines > maxLinesPerSecond {
		c.suppressed++
		return 0, false
	}
	return suppressed, true
}
