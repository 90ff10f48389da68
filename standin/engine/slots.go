package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// errQueueFull refuses a request that the engine has no room for.
var errQueueFull = errors.New("the queue of the engine is full; retry later")

// slots runs a bounded number of requests and lets the rest wait by priority.
type slots struct {
	mu      sync.Mutex
	free    int
	total   int
	limit   int
	waiting []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(total, limit int) *slots { return &slots{free: total, total: total, limit: limit} }

// acquire waits for a slot. Lower priorities go first; equal ones in order of arrival.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= s.limit {
		s.mu.Unlock()
		return errQueueFull
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	at := slices.IndexFunc(s.waiting, func(other *waiter) bool { return other.priority > priority })
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	at := slices.Index(s.waiting, w)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mu.Unlock()
	if at < 0 {
		s.release()
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(next.granted)
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free, len(s.waiting)
}
