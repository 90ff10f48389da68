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
	offer(w queuedRequest)
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
	g := &fairQueue{sim: s, queue: admission.New(cfg, s.Rand), waiting: make(map[string]queuedRequest)}
	s.Every(dispatchInterval, g.dispatch)
	return g
}

func (g *fairQueue) offer(w queuedRequest) {
	v := g.queue.Offer(w.item, g.sim.Now())
	if v.Displaced != nil {
		g.takeWaiting(v.Displaced.ID).refuse(v.DisplacedRetryAfter)
	}
	switch v.Action {
	case admission.Admit:
		w.run()
	case admission.Wait:
		g.waiting[w.item.ID] = w
	default:
		w.refuse(v.RetryAfter)
	}
}

func (g *fairQueue) done(id string, tokens int64) {
	g.queue.Done(id, tokens, g.sim.Now())
	g.dispatch()
}

func (g *fairQueue) remove(id string) {
	if _, ok := g.queue.Remove(id, g.sim.Now()); ok {
		delete(g.waiting, id)
	}
}

// dispatch refuses requests that are too late and admits as many others as the window allows.
func (g *fairQueue) dispatch() {
	for _, i := range g.queue.Expire(g.sim.Now()) {
		g.takeWaiting(i.ID).refuse(g.queue.RetryAfter(i))
	}
	for {
		i, ok := g.queue.Next(g.sim.Now())
		if !ok {
			return
		}
		g.takeWaiting(i.ID).run()
	}
}

func (g *fairQueue) takeWaiting(id string) queuedRequest {
	w := g.waiting[id]
	delete(g.waiting, id)
	return w
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

func (g *fifoQueue) offer(w queuedRequest) {
	switch {
	case g.running < g.window:
		g.running++
		w.run()
	case len(g.queue) >= maxQueuedRequests:
		w.refuse(fifoRetryAfter)
	default:
		g.queue = append(g.queue, w)
	}
}

func (g *fifoQueue) done(string, int64) {
	g.running--
	if len(g.queue) == 0 {
		return
	}
	next := g.queue[0]
	g.queue = g.queue[1:]
	g.running++
	next.run()
}

func (g *fifoQueue) remove(id string) {
	g.queue = slices.DeleteFunc(g.queue, func(w queuedRequest) bool { return w.item.ID == id })
}
