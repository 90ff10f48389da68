package gateway

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// maxLimitWaiters bounds the requests that wait for the limits of one service; it covers the score calls of several
	// large jobs.
	maxLimitWaiters = 10_000
	// limitQueueInterval is how often a queue is served if no share of a limit is due earlier. Limits may be lifted and
	// upstreams may join meanwhile.
	limitQueueInterval = 100 * time.Millisecond
	// minLimitPause keeps a queue from being served without a pause because of rounding.
	minLimitPause = time.Millisecond
)

// limitQueue holds the requests that wait until this host may send one more request to a limited upstream of a service.
type limitQueue struct {
	service string
	queue   *admission.Queue
	waiting map[string]*limitWaiter
	// timer serves the queue; nil while nothing waits.
	timer *time.Timer
}

// limitWaiter is a request in a limitQueue.
type limitWaiter struct {
	turn   limitTurn
	result chan limitResult
}

// limitResult is the slot of a request, or a refusal.
type limitResult struct {
	slot reservedSlot
	err  error
}

// limitQueueOf returns the queue of a service. The caller holds g.mu.
func (g *Gateway) limitQueueOf(service string) *limitQueue {
	q, ok := g.limitQueues[service]
	if !ok {
		cfg := admission.Config{
			WindowTokens: math.MaxInt32, WindowItems: math.MaxInt32, MaxItems: maxLimitWaiters, RateInterval: math.MaxInt64,
			MinRetryAfter: retryAfterBusy, RetryJitter: 0.5,
		}
		q = &limitQueue{
			service: service, queue: admission.New(cfg, rand.New(rand.NewSource(time.Now().UnixNano()))),
			waiting: map[string]*limitWaiter{},
		}
		g.limitQueues[service] = q
	}
	return q
}

// limitQueueLen returns the number of requests that wait for the limits of a service. The caller holds g.mu.
func (g *Gateway) limitQueueLen(service string) int {
	if q, ok := g.limitQueues[service]; ok {
		return q.queue.Len()
	}
	return 0
}

// shareOfService returns how many requests a second this host can send to the upstreams of a service, and when its share
// of a limit allows the next one. The caller holds g.mu.
func (g *Gateway) shareOfService(service string, now time.Time) (perSecond float64, next time.Time) {
	next = now.Add(limitQueueInterval)
	for _, u := range g.upstreams.Ready(service) {
		share, at, limited := g.limits.Share(u, now)
		if !limited {
			perSecond += float64(u.Slots) / busyTTL.Seconds() // it has room for a request in each slot when it is asked again
			continue
		}
		perSecond += share
		if at.Before(next) {
			next = at
		}
	}
	return perSecond, next
}

// updateRate sets the rate on which a queue's estimates are based. It returns when the next share of a limit is due. The
// caller holds g.mu.
func (g *Gateway) updateRate(q *limitQueue, now time.Time) (next time.Time) {
	perSecond, next := g.shareOfService(q.service, now)
	q.queue.SetRate(perSecond)
	return next
}

// mayServeLimitQueue reports whether a request that waits for the limits of a service can be decided: an upstream has room,
// none has a limit any more, or all of them are evacuated. The caller holds g.mu.
func (g *Gateway) mayServeLimitQueue(service string, now time.Time) bool {
	return !g.hasLimits(service, now) || len(g.candidates(sendScope{service: service})) == 0 || slices.ContainsFunc(g.upstreams.Ready(service), func(u upstreams.Entry) bool {
		return g.hasRoom(u, true, now)
	})
}

// wakeLimitQueue serves the requests that wait for a service after a request to one of its upstreams has ended. The caller
// holds g.mu.
func (g *Gateway) wakeLimitQueue(service string, now time.Time) {
	if q, ok := g.limitQueues[service]; ok && q.queue.Len() > 0 && g.mayServeLimitQueue(service, now) {
		g.serveLimitQueue(q, now)
	}
}

// serveLimitQueue assigns upstreams to the requests whose turn it is. The caller holds g.mu.
func (g *Gateway) serveLimitQueue(q *limitQueue, now time.Time) {
	g.updateRate(q, now)
	for _, item := range q.queue.Expire(now) {
		q.finish(item.ID, limitResult{err: g.limitRefusal(q.queue.RetryAfter(item))})
	}
	var unserved []admission.Item
	for g.mayServeLimitQueue(q.service, now) {
		item, ok := q.queue.Next(now)
		if !ok {
			break
		}
		q.queue.Done(item.ID, item.Cost, now)
		if !g.takeTurn(q, item, now) {
			unserved = append(unserved, item)
		}
	}
	for _, item := range unserved {
		if decision := q.queue.Enqueue(item, now); decision.Action == admission.Refuse {
			q.finish(item.ID, limitResult{err: g.limitRefusal(decision.RetryAfter)})
		}
	}
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
	if q.queue.Len() > 0 {
		_, next := g.shareOfService(q.service, now)
		g.scheduleLimitQueue(q, next, now)
	}
}

// takeTurn chooses the upstream of a request whose turn it is. It returns false if the request has to go on waiting, because
// it may not use the upstreams that have room. The caller holds g.mu.
func (g *Gateway) takeTurn(q *limitQueue, item admission.Item, now time.Time) bool {
	turn := q.waiting[item.ID].turn
	u, found, limited := turn.choose(true, now)
	switch {
	case found:
		q.finish(item.ID, limitResult{slot: g.acquire(u, now)})
	case limited:
		return false
	default:
		q.finish(item.ID, limitResult{err: g.refusalIn(turn.scope)})
	}
	return true
}

// background returns how many requests of jobs wait.
func (q *limitQueue) background() int {
	n := 0
	for _, w := range q.waiting {
		if w.turn.background {
			n++
		}
	}
	return n
}

// finish ends the wait of a request. The caller holds g.mu.
func (q *limitQueue) finish(id string, r limitResult) {
	if w, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		w.result <- r
	}
}

// scheduleLimitQueue serves a queue again at the given time. The caller holds g.mu.
func (g *Gateway) scheduleLimitQueue(q *limitQueue, at, now time.Time) {
	q.timer = time.AfterFunc(min(max(at.Sub(now), minLimitPause), limitQueueInterval), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.serveLimitQueue(q, time.Now())
	})
}
