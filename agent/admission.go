package agent

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/drain"
	"github.com/radishshelf/radishshelf/outcome"
)

// defaultRetryAfter is how long an entry should wait before it tries this upstream again; it can use others meanwhile.
const defaultRetryAfter = time.Second

// statusCallerGone is the status for a caller that closed its connection. Nobody receives it.
const statusCallerGone = 499

// Remedies of refusals. Entries pass them on to callers, who cannot choose an upstream.
const (
	remedyRepeat         = "repeat the request; another upstream may serve it"
	remedyRepeatWhenIdle = "repeat the request later; it must run alone on an upstream"
)

// slotRequest is a request that waits for or holds a slot of the upstream.
type slotRequest struct {
	priority  int
	exclusive bool
	granted   chan struct{}
}

// admission limits the running and queued requests of the upstream, and tracks the lifecycle of the agent.
type admission struct {
	slots      int
	queueLimit int

	mu        sync.Mutex
	lifecycle *drain.Machine
	running   int
	exclusive bool
	waiting   []*slotRequest
	// stopped is closed when the lifecycle reaches drain.Stopped.
	stopped chan struct{}
}

func newAdmission(slots, queueLimit int) *admission {
	return &admission{slots: slots, queueLimit: queueLimit, lifecycle: drain.New(), stopped: make(chan struct{})}
}

func (a *admission) markReady() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifecycle.Ready()
}

// markLeaving makes the agent refuse new requests; admitted ones still finish.
func (a *admission) markLeaving(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifecycle.Leave(reason)
	a.closeIfStopped()
}

func (a *admission) closeIfStopped() {
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

// acquire waits for a slot. The error is a refusal with outcome "not run".
func (a *admission) acquire(ctx context.Context, r *slotRequest) error {
	r.granted = make(chan struct{})
	if err := a.admitOrEnqueue(r); err != nil {
		return err
	}
	select {
	case <-r.granted:
		return nil
	case <-ctx.Done():
		a.cancel(r)
		return endedRefusal(ctx, "while the request waited for a slot")
	}
}

func (a *admission) admitOrEnqueue(r *slotRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.exclusive && (a.running > 0 || len(a.waiting) > 0) && a.lifecycle.State() == drain.Ready {
		return &outcome.Refusal{
			Kind: outcome.KindOverloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: "the request must run alone, but this upstream is not idle", Remedy: remedyRepeatWhenIdle,
			RetryAfter: defaultRetryAfter,
		}
	}
	if a.canRun() {
		if err := a.beginRequest(); err != nil {
			return err
		}
		a.grant(r)
		return nil
	}
	if len(a.waiting) >= a.queueLimit && a.lifecycle.State() == drain.Ready {
		return &outcome.Refusal{
			Kind: outcome.KindOverloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: "all slots and the queue of this upstream are full", Remedy: remedyRepeat,
			RetryAfter: defaultRetryAfter,
		}
	}
	if err := a.beginRequest(); err != nil {
		return err
	}
	a.enqueue(r)
	return nil
}

func (a *admission) beginRequest() error {
	if err := a.lifecycle.Begin(); err != nil {
		kind := outcome.KindLeaving
		if a.lifecycle.State() == drain.Starting {
			kind = outcome.KindNoUpstream
		}
		return &outcome.Refusal{
			Kind: kind, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: "this upstream is " + string(a.lifecycle.State()), Remedy: remedyRepeat, RetryAfter: defaultRetryAfter, Err: err,
		}
	}
	return nil
}

func (a *admission) enqueue(r *slotRequest) {
	index := slices.IndexFunc(a.waiting, func(other *slotRequest) bool { return other.priority > r.priority })
	if index < 0 {
		index = len(a.waiting)
	}
	a.waiting = slices.Insert(a.waiting, index, r)
}

func (a *admission) canRun() bool { return a.running < a.slots && !a.exclusive && len(a.waiting) == 0 }

func (a *admission) grant(r *slotRequest) {
	a.running++
	a.exclusive = r.exclusive
	close(r.granted)
}

// cancel removes a request from the queue, or releases its slot if it was granted at the same moment.
func (a *admission) cancel(r *slotRequest) {
	a.mu.Lock()
	index := slices.Index(a.waiting, r)
	if index < 0 {
		a.mu.Unlock()
		a.release(r)
		return
	}
	a.waiting = slices.Delete(a.waiting, index, index+1)
	a.lifecycle.End()
	a.closeIfStopped()
	a.mu.Unlock()
}

// release frees the slot of a finished request and grants free slots to queued requests.
func (a *admission) release(r *slotRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if r.exclusive {
		a.exclusive = false
	}
	a.lifecycle.End()
	for len(a.waiting) > 0 && a.running < a.slots && !a.exclusive {
		next := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.grant(next)
	}
	a.closeIfStopped()
}

// endedRefusal returns the refusal of a request whose context ended before it was sent to the upstream.
func endedRefusal(ctx context.Context, during string) *outcome.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineRefusal("the deadline passed " + during)
	}
	return &outcome.Refusal{
		Kind: outcome.KindDeadline, Outcome: outcome.NotRun, Status: statusCallerGone,
		Message: "the caller closed the connection " + during, Remedy: remedyRepeat,
	}
}

func deadlineRefusal(message string) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindDeadline, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message: message, Remedy: "repeat the request with a later deadline", RetryAfter: defaultRetryAfter,
	}
}
