package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// history keeps the latest events, and the first violation with the events before it. It is safe for concurrent use.
type history struct {
	mu        sync.Mutex
	started   time.Time
	events    []string
	violation string
}

// reportedEvents is the number of events that are printed with a violation.
const reportedEvents = 60

func newHistory() *history { return &history{started: time.Now()} }

// record adds an event with its time since the start.
func (h *history) record(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf("%8.3f  ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
	if len(h.events) > 4*reportedEvents {
		h.events = append([]string(nil), h.events[len(h.events)-reportedEvents:]...)
	}
}

// recordViolation adds a violated guarantee as an event. Only the first one is kept with its events.
func (h *history) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.record("VIOLATION %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.violation == "" {
		from := max(len(h.events)-reportedEvents, 0)
		h.violation = text + "\n" + strings.Join(h.events[from:], "\n")
	}
}

// firstViolation returns the first violation, or "" if there is none.
func (h *history) firstViolation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.violation
}
