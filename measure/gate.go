package measure

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/admission"
)

// waiting is a request at a gate.
type waiting struct {
	item admission.Item
	run  func()
	// refuse gives the final answer with the advice when to come back.
	refuse func(retryAfter time.Duration)
}

// gate decides when requests run.
type gate interface {
	offer(w waiting)
	done(id string, tokens int64)
	// leave takes out a queued request whose client has gone.
	leave(id string)
}

// queueBound is the size of both queues in requests.
const queueBound = 2000

// fairGate runs the admission queue.
type fairGate struct {
	sim     *Sim
	queue   *admission.Queue
	waiting map[string]waiting
}

// pumpInterval is how often the queue is checked for late requests.
const pumpInterval = 100 * time.Millisecond

func newFairGate(s *Sim, p *Pool, estimate float64) *fairGate {
	cfg := admission.DefaultConfig()
	cfg.WindowItems = p.Slots()
	// The window is bounded by the slots; the token bound is for requests far above the mean.
	cfg.WindowTokens = int64(4 * estimate * float64(p.Slots()))
	cfg.MaxItems = queueBound
	cfg.TokensPerSecond = p.Capacity()
	g := &fairGate{sim: s, queue: admission.New(cfg, s.Rand), waiting: make(map[string]waiting)}
	s.Every(pumpInterval, g.pump)
	return g
}

func (g *fairGate) offer(w waiting) {
	v := g.queue.Offer(w.item, g.sim.Now())
	if v.Displaced != nil {
		g.take(v.Displaced.ID).refuse(v.DisplacedRetryAfter)
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

func (g *fairGate) done(id string, tokens int64) {
	g.queue.Done(id, tokens, g.sim.Now())
	g.pump()
}

func (g *fairGate) leave(id string) {
	if _, ok := g.queue.Remove(id, g.sim.Now()); ok {
		delete(g.waiting, id)
	}
}

// pump ends late requests and admits what fits.
func (g *fairGate) pump() {
	for _, i := range g.queue.Expire(g.sim.Now()) {
		g.take(i.ID).refuse(g.queue.RetryAfter(i))
	}
	for {
		i, ok := g.queue.Next(g.sim.Now())
		if !ok {
			return
		}
		g.take(i.ID).run()
	}
}

func (g *fairGate) take(id string) waiting {
	w := g.waiting[id]
	delete(g.waiting, id)
	return w
}

// plainGate is a bounded first-come-first-served queue with the same window.
type plainGate struct {
	window  int
	running int
	queue   []waiting
}

// plainRetryAfter is the fixed advice of the plain queue when it is full.
const plainRetryAfter = time.Second

func newPlainGate(p *Pool) *plainGate { return &plainGate{window: p.Slots()} }

func (g *plainGate) offer(w waiting) {
	switch {
	case g.running < g.window:
		g.running++
		w.run()
	case len(g.queue) >= queueBound:
		w.refuse(plainRetryAfter)
	default:
		g.queue = append(g.queue, w)
	}
}

func (g *plainGate) done(string, int64) {
	g.running--
	if len(g.queue) == 0 {
		return
	}
	next := g.queue[0]
	g.queue = g.queue[1:]
	g.running++
	next.run()
}

func (g *plainGate) leave(id string) {
	g.queue = slices.DeleteFunc(g.queue, func(w waiting) bool { return w.item.ID == id })
}
