package gateway

import (
	"context"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/outcome"
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
	// maxLimitRetryAfter bounds the time after which a refused caller may come back, because limits last for seconds.
	maxLimitRetryAfter = 2 * time.Second
)

// limitTurn describes a request that may have to wait for its share of the limits of a service's upstreams.
type limitTurn struct {
	request, service string
	// background is set for a request of a job.
	background bool
	// item has the workspace and the rank of the request, and as its deadline the time until which it may wait.
	item admission.Item
	// choose picks an upstream; limited reports whether upstreams were left out because of their limits, and inTurn says
	// that the request has waited for its turn. The caller holds g.mu.
	choose func(inTurn bool, now time.Time) (u upstreams.Entry, found, limited bool)
}

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

// limitResult is the upstream at which a request was counted, or a refusal.
type limitResult struct {
	upstream upstreams.Entry
	err      error
}

// reserve chooses an upstream for a request and counts the request there. If only the limits of upstreams stand in the
// way, the request waits for its turn, provided that mayWait is set and its turn comes within its time. Otherwise it is
// refused at once. Every error is an *outcome.Refusal of a request that was not sent.
func (g *Gateway) reserve(ctx context.Context, turn limitTurn, mayWait bool) (upstreams.Entry, error) {
	u, waiter, err := g.reserveOrEnqueue(turn, mayWait)
	if waiter == nil {
		return u, err
	}
	started := time.Now()
	defer g.metrics.limitWait.UpdateDuration(started)
	select {
	case r := <-waiter.result:
		if r.err == nil {
			g.opts.Log.Info().Str("request", turn.request).Str("upstream", r.upstream.ID).
				Dur("waited_ms", time.Since(started)).Msg("request waited for the limit of an upstream")
		}
		return r.upstream, r.err
	case <-ctx.Done():
		g.leaveLimitQueue(waiter)
		return upstreams.Entry{}, unavailable(outcome.KindDeadline,
			"the request ended while it waited for the limits of upstreams", retryAfterBusy)
	}
}

// reserveOrEnqueue returns the upstream at which the request was counted, a waiter if it has to wait, or a refusal.
func (g *Gateway) reserveOrEnqueue(turn limitTurn, mayWait bool) (upstreams.Entry, *limitWaiter, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wantAny(turn.service, turn.background, now)
	u, found, limited := turn.choose(false, now)
	switch {
	case found:
		g.acquire(u, now)
		return u, nil, nil
	case !limited:
		return upstreams.Entry{}, nil, noUpstream()
	case !mayWait:
		return upstreams.Entry{}, nil, g.limitRefusal(retryAfterBusy)
	}
	q := g.limitQueueOf(turn.service)
	next := g.updateRate(q, now)
	g.limitWaiters++
	turn.item.ID, turn.item.Cost = strconv.FormatInt(g.limitWaiters, 10), 1
	decision := q.queue.Enqueue(turn.item, now)
	if decision.Displaced != nil {
		q.finish(decision.Displaced.ID, limitResult{err: g.limitRefusal(decision.DisplacedRetryAfter)})
	}
	if decision.Action == admission.Refuse {
		return upstreams.Entry{}, nil, g.limitRefusal(decision.RetryAfter)
	}
	waiter := &limitWaiter{turn: turn, result: make(chan limitResult, 1)}
	q.waiting[turn.item.ID] = waiter
	if q.timer == nil {
		g.scheduleLimitQueue(q, next, now)
	}
	return upstreams.Entry{}, waiter, nil
}

// limitRefusal returns the refusal of a request that the limits of upstreams leave no room for.
func (g *Gateway) limitRefusal(after time.Duration) error {
	g.metrics.limitRefusals.Inc()
	return unavailable(outcome.KindOverloaded, "the upstreams of the service take no more requests now, by the limits that they named",
		min(after, maxLimitRetryAfter))
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
// or none has a limit any more. The caller holds g.mu.
func (g *Gateway) mayServeLimitQueue(service string, now time.Time) bool {
	return !g.hasLimits(service, now) || slices.ContainsFunc(g.upstreams.Ready(service), func(u upstreams.Entry) bool {
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
	u, found, limited := q.waiting[item.ID].turn.choose(true, now)
	switch {
	case found:
		g.acquire(u, now)
		q.finish(item.ID, limitResult{upstream: u})
	case limited:
		return false
	default:
		q.finish(item.ID, limitResult{err: noUpstream()})
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

// leaveLimitQueue removes a request whose wait has ended without its turn. One that was counted at an upstream meanwhile is
// not sent; its share is lost.
func (g *Gateway) leaveLimitQueue(w *limitWaiter) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.limitQueueOf(w.turn.service)
	if _, queued := q.queue.Remove(w.turn.item.ID, now); queued {
		delete(q.waiting, w.turn.item.ID)
		return
	}
	if r := <-w.result; r.err == nil {
		g.release(r.upstream.ID, now)
	}
}
