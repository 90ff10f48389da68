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

// keptEvents is how many events are printed with a violation.
const keptEvents = 60

func newHistory() *history { return &history{started: time.Now()} }

// add notes an event.
func (h *history) add(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf("%8.3f  ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
	if len(h.events) > 4*keptEvents {
		h.events = append([]string(nil), h.events[len(h.events)-keptEvents:]...)
	}
}

// violate notes a broken promise. The first one counts.
func (h *history) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.add("VIOLATION %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.violation == "" {
		from := max(len(h.events)-keptEvents, 0)
		h.violation = text + "\n" + strings.Join(h.events[from:], "\n")
	}
}

// first returns the first violation, empty when there is none.
func (h *history) first() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.violation
}
