package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxLinesPerSecond is the maximum number of lines per second for one event. A busy process makes fewer than a hundred
// decisions on requests per second.
const maxLinesPerSecond = 200

// Limiter is a zerolog.Hook that drops and counts the lines of an event beyond maxLinesPerSecond. The first line of the
// event in a later second carries their number in the field "suppressed". It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	events map[string]*eventCount
	now    func() time.Time
}

// eventCount counts the lines of one event in one second.
type eventCount struct {
	second     int64
	lines      int
	suppressed int
}

// NewLimiter returns a Limiter for all events of one process.
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

// allow counts a line of the event message. It returns false if the line has to be dropped, and otherwise the number of
// lines dropped before it that were not reported yet.
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
