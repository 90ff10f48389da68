package entry

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/outcome"
)

// expiryInterval is how often queued requests are checked for deadlines that they can no longer meet.
const expiryInterval = 50 * time.Millisecond

// Gate makes requests wait until the admission queue admits them. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	queue *admission.Queue
	// waiting holds one channel for each queued request id. It receives nil on admission, or a refusal.
	waiting map[string]chan error
	now     func() time.Time
}

// NewGate returns a gate that limits outstanding work as set in s.
func NewGate(s Settings, random *rand.Rand, now func() time.Time) *Gate {
	config := admission.DefaultConfig()
	config.WindowTokens = s.QueueTokens
	config.WindowItems = s.MaxRequests
	config.MaxItems = s.QueueLength
	return &Gate{queue: admission.New(config, random), waiting: map[string]chan error{}, now: now}
}

// Acquire waits until the request may be sent. Errors are *outcome.Refusal or the cancellation cause of ctx. done takes
// the actual cost and must be called once.
func (g *Gate) Acquire(ctx context.Context, item admission.Item) (done func(actualTokens int64), err error) {
	admitted, err := g.offer(item)
	if err != nil {
		return nil, err
	}
	done = func(actual int64) { g.done(item.ID, actual) }
	if admitted == nil {
		return done, nil
	}
	select {
	case err := <-admitted:
		if err != nil {
			return nil, err
		}
		return done, nil
	case <-ctx.Done():
		g.abandon(item.ID)
		return nil, context.Cause(ctx)
	}
}

// offer adds the request to the queue. It returns a nil channel if the request may be sent at once.
func (g *Gate) offer(item admission.Item) (<-chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	decision := g.queue.Offer(item, now)
	if decision.Displaced != nil {
		g.notify(decision.Displaced.ID, queueFull(decision.DisplacedRetryAfter))
	}
	switch decision.Action {
	case admission.Admit:
		return nil, nil
	case admission.Refuse:
		return nil, decisionRefusal(decision)
	}
	admitted := make(chan error, 1)
	g.waiting[item.ID] = admitted
	g.dispatch(now)
	return admitted, nil
}

func (g *Gate) done(id string, actual int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.queue.Done(id, actual, now)
	g.dispatch(now)
}

// abandon removes a request whose context has ended. If it was admitted concurrently, its share of the window is freed.
func (g *Gate) abandon(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	delete(g.waiting, id)
	if _, queued := g.queue.Remove(id, now); !queued {
		g.queue.Done(id, 0, now)
	}
	g.dispatch(now)
}

// Run refuses queued requests that can no longer meet their deadline, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.mu.Lock()
			g.dispatch(g.now())
			g.mu.Unlock()
		}
	}
}

// dispatch notifies expired and admitted requests. The caller must hold the lock.
func (g *Gate) dispatch(now time.Time) {
	for _, item := range g.queue.Expire(now) {
		r := deadlineExceeded(outcome.NotRun)
		r.Status = http.StatusServiceUnavailable
		r.RetryAfter = g.queue.RetryAfter(item)
		g.notify(item.ID, r)
	}
	for {
		item, ok := g.queue.Next(now)
		if !ok {
			return
		}
		g.notify(item.ID, nil)
	}
}

func (g *Gate) notify(id string, err error) {
	if admitted, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		admitted <- err
	}
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

func queueFull(after time.Duration) *outcome.Refusal {
	return newRetryableRefusal(outcome.KindOverloaded, http.StatusServiceUnavailable, "the queue of this entry is full",
		"repeat the request after the time in Retry-After", after)
}

func decisionRefusal(v admission.Decision) *outcome.Refusal {
	if v.Reason == admission.ReasonDeadline {
		return newRetryableRefusal(outcome.KindDeadline, http.StatusServiceUnavailable,
			"the expected wait of "+v.ExpectedWait.Round(time.Millisecond).String()+" exceeds the deadline",
			"repeat the request after the time in Retry-After, or allow more time in X-Request-Timeout", v.RetryAfter)
	}
	return queueFull(v.RetryAfter)
}
