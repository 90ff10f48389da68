package measure

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/admission"
)

// queuedRequest is a request that is offered to a queue.
type queuedRequest struct {
	item admission.Item
	run  func()
	// refuse rejects the request; the client may retry after the given time.
	refuse func(retryAfter time.Duration)
}

// requestQueue decides when requests run. done reports the end of an admitted request and its generated tokens.
type requestQueue interface {
	offer(req queuedRequest)
	done(id string, tokens int64)
	// remove removes a queued request whose client has timed out.
	remove(id string)
}

// maxQueuedRequests is the capacity of both queues.
const maxQueuedRequests = 2000

// fairQueue wraps the queue of package admission.
type fairQueue struct {
	sim     *Sim
	queue   *admission.Queue
	waiting map[string]queuedRequest
}

// dispatchInterval is the interval of checks for requests that can no longer meet their deadline.
const dispatchInterval = 100 * time.Millisecond

func newFairQueue(s *Sim, p *Pool, estimate float64) *fairQueue {
	cfg := admission.DefaultConfig()
	cfg.WindowItems = p.Slots()
	// The number of slots bounds the window; the token bound only limits requests far longer than the mean.
	cfg.WindowTokens = int64(4 * estimate * float64(p.Slots()))
	cfg.MaxItems = maxQueuedRequests
	cfg.TokensPerSecond = p.Capacity()
	q := &fairQueue{sim: s, queue: admission.New(cfg, s.Rand), waiting: make(map[string]queuedRequest)}
	s.Every(dispatchInterval, q.dispatch)
	return q
}

func (q *fairQueue) offer(req queuedRequest) {
	v := q.queue.Offer(req.item, q.sim.Now())
	if v.Displaced != nil {
		q.takeWaiting(v.Displaced.ID).refuse(v.DisplacedRetryAfter)
	}
	switch v.Action {
	case admission.Admit:
		req.run()
	case admission.Wait:
		q.waiting[req.item.ID] = req
	default:
		req.refuse(v.RetryAfter)
	}
}

func (q *fairQueue) done(id string, tokens int64) {
	q.queue.Done(id, tokens, q.sim.Now())
	q.dispatch()
}

func (q *fairQueue) remove(id string) {
	if _, ok := q.queue.Remove(id, q.sim.Now()); ok {
		delete(q.waiting, id)
	}
}

// dispatch refuses requests that are too late and admits as many others as the window allows.
func (q *fairQueue) dispatch() {
	for _, i := range q.queue.Expire(q.sim.Now()) {
		q.takeWaiting(i.ID).refuse(q.queue.RetryAfter(i))
	}
	for {
		i, ok := q.queue.Next(q.sim.Now())
		if !ok {
			return
		}
		q.takeWaiting(i.ID).run()
	}
}

func (q *fairQueue) takeWaiting(id string) queuedRequest {
	req := q.waiting[id]
	delete(q.waiting, id)
	return req
}

// fifoQueue is a bounded first-come-first-served queue with the same number of running requests.
type fifoQueue struct {
	window  int
	running int
	queue   []queuedRequest
}

// fifoRetryAfter is the constant retry delay that a full FIFO queue returns.
const fifoRetryAfter = time.Second

func newFIFOQueue(p *Pool) *fifoQueue { return &fifoQueue{window: p.Slots()} }

func (q *fifoQueue) offer(req queuedRequest) {
	switch {
	case q.running < q.window:
		q.running++
		req.run()
	case len(q.queue) >= maxQueuedRequests:
		req.refuse(fifoRetryAfter)
	default:
		q.queue = append(q.queue, req)
	}
}

func (q *fifoQueue) done(string, int64) {
	q.running--
	if len(q.queue) == 0 {
		return
	}
	next := q.queue[0]
	q.queue = q.queue[1:]
	q.running++
	next.run()
}

func (q *fifoQueue) remove(id string) {
	q.queue = slices.DeleteFunc(q.queue, func(req queuedRequest) bool { return req.item.ID == id })
}
