package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// errQueueFull is returned for a request when all slots are in use and the queue is full.
var errQueueFull = errors.New("the queue of the engine is full; retry later")

// slots limits the number of concurrent requests and queues the others by priority.
type slots struct {
	mu         sync.Mutex
	free       int
	total      int
	queueLimit int
	queue      []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(total, limit int) *slots { return &slots{free: total, total: total, queueLimit: limit} }

// acquire waits for a slot. Lower priority values go first; requests of equal priority go in order of arrival. It fails
// with errQueueFull, or with the error of ctx when that ends first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.queueLimit {
		s.mu.Unlock()
		return errQueueFull
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	at := slices.IndexFunc(s.queue, func(other *waiter) bool { return other.priority > priority })
	if at < 0 {
		at = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, at, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.cancel(w)
		return ctx.Err()
	}
}

// cancel removes w from the queue, or releases its slot if that was granted already.
func (s *slots) cancel(w *waiter) {
	s.mu.Lock()
	at := slices.Index(s.queue, w)
	if at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
	}
	s.mu.Unlock()
	if at < 0 {
		s.release()
	}
}

// release passes the slot on to the first waiter, or frees it if nobody waits.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.free++
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	close(next.granted)
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free, len(s.queue)
}
