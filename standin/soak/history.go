package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// history keeps the last events, and the first violation with the events before it.
type history struct {
	mu        sync.Mutex
	started   time.Time
	events    []string
	violation string
}

// reportedEvents is how many events are printed with a violation.
const reportedEvents = 60

func newHistory() *history { return &history{started: time.Now()} }

// record notes an event.
func (h *history) record(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf("%8.3f  ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
	if len(h.events) > 4*reportedEvents {
		h.events = append([]string(nil), h.events[len(h.events)-reportedEvents:]...)
	}
}

// recordViolation notes a broken promise. The first one counts.
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

// firstViolation returns the firstViolation violation, empty when there is none.
func (h *history) firstViolation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.violation
}
