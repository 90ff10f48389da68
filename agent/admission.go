package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/drain"
	"github.com/radishshelf/radishshelf/outcome"
)

// fullRetryAfter is how long an entry should leave a full upstream alone; it also knows others.
const fullRetryAfter = time.Second

// ticket is the place of one request at the upstream.
type ticket struct {
	priority  int
	exclusive bool
	granted   chan struct{}
}

// admission bounds what runs and waits at the upstream, and holds the lifecycle of the agent.
type admission struct {
	slots      int
	queueLimit int

	mu        sync.Mutex
	lifecycle *drain.Machine
	running   int
	exclusive bool
	waiting   []*ticket
	// stopped is closed when the lifecycle has ended.
	stopped chan struct{}
}

func newAdmission(slots, queueLimit int) *admission {
	return &admission{slots: slots, queueLimit: queueLimit, lifecycle: drain.New(), stopped: make(chan struct{})}
}

func (a *admission) ready() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifecycle.Ready()
}

// leave refuses new work from now on; what was admitted finishes.
func (a *admission) leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifecycle.Leave(reason)
	a.closeWhenStopped()
}

func (a *admission) closeWhenStopped() {
	if a.lifecycle.State() != drain.Stopped {
		return
	}
	select {
	case <-a.stopped:
	default:
		close(a.stopped)
	}
}

func (a *admission) state() (state drain.State, running, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lifecycle.State(), a.running, len(a.waiting)
}

// enter waits for a slot. The error is a refusal with outcome "not run".
func (a *admission) enter(ctx context.Context, t *ticket) error {
	t.granted = make(chan struct{})
	if err := a.join(t); err != nil {
		return err
	}
	select {
	case <-t.granted:
		return nil
	case <-ctx.Done():
		a.abandon(t)
		return deadlineRefusal("the deadline passed while the request waited for a slot")
	}
}

func (a *admission) join(t *ticket) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.exclusive && (a.running > 0 || len(a.waiting) > 0) && a.lifecycle.State() == drain.Ready {
		return &outcome.Refusal{
			Kind: outcome.KindOverloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: "the request must run alone and others run on this upstream", Remedy: "use an idle upstream",
			RetryAfter: fullRetryAfter,
		}
	}
	if a.mayRun() {
		if err := a.begin(); err != nil {
			return err
		}
		a.grant(t)
		return nil
	}
	if len(a.waiting) >= a.queueLimit && a.lifecycle.State() == drain.Ready {
		return &outcome.Refusal{
			Kind: outcome.KindOverloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: "all slots and the queue of this upstream are full", Remedy: "use another upstream",
			RetryAfter: fullRetryAfter,
		}
	}
	if err := a.begin(); err != nil {
		return err
	}
	a.enqueue(t)
	return nil
}

func (a *admission) begin() error {
	if err := a.lifecycle.Begin(); err != nil {
		kind := outcome.KindLeaving
		if a.lifecycle.State() == drain.Starting {
			kind = outcome.KindNoUpstream
		}
		return &outcome.Refusal{
			Kind: kind, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: err.Error(), Remedy: "use another upstream", RetryAfter: fullRetryAfter, Err: err,
		}
	}
	return nil
}

func (a *admission) enqueue(t *ticket) {
	at := slices.IndexFunc(a.waiting, func(other *ticket) bool { return other.priority > t.priority })
	if at < 0 {
		at = len(a.waiting)
	}
	a.waiting = slices.Insert(a.waiting, at, t)
}

func (a *admission) mayRun() bool { return a.running < a.slots && !a.exclusive && len(a.waiting) == 0 }

func (a *admission) grant(t *ticket) {
	a.running++
	a.exclusive = t.exclusive
	close(t.granted)
}

// abandon gives up a place in the queue, or the slot that was granted at the same moment.
func (a *admission) abandon(t *ticket) {
	a.mu.Lock()
	at := slices.Index(a.waiting, t)
	if at < 0 {
		a.mu.Unlock()
		a.exit(t)
		return
	}
	a.waiting = slices.Delete(a.waiting, at, at+1)
	a.lifecycle.End()
	a.closeWhenStopped()
	a.mu.Unlock()
}

// exit frees the slot of a finished request and starts the next one.
func (a *admission) exit(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if t.exclusive {
		a.exclusive = false
	}
	a.lifecycle.End()
	for len(a.waiting) > 0 && a.running < a.slots && !a.exclusive {
		next := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.grant(next)
	}
	a.closeWhenStopped()
}

func deadlineRefusal(message string) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindDeadline, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message: message, Remedy: "repeat the request with a later deadline", RetryAfter: fullRetryAfter,
	}
}
