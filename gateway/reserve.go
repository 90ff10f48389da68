package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreams"
)

// maxLimitRetryAfter bounds the time after which a refused caller may come back, because limits last for seconds.
const maxLimitRetryAfter = 2 * time.Second

// limitTurn describes a request that may have to wait for its share of the limits of a service's upstreams.
type limitTurn struct {
	request string
	scope   sendScope
	// background is set for a request of a job.
	background bool
	// item has the workspace and the rank of the request, and as its deadline the time until which it may wait.
	item admission.Item
	// choose picks an upstream; limited reports whether upstreams were left out because of their limits, and inTurn says
	// that the request has waited for its turn. The caller holds g.mu.
	choose func(inTurn bool, now time.Time) (u upstreams.Entry, found, limited bool)
}

// reserve chooses an upstream for a request and counts the request there. If only the limits of upstreams stand in the
// way, the request waits for its turn, provided that mayWait is set and its turn comes within its time. Otherwise it is
// refused at once. Every error is an *outcome.Refusal of a request that was not sent.
func (g *Gateway) reserve(ctx context.Context, turn limitTurn, mayWait bool) (reservedSlot, error) {
	slot, waiter, err := g.reserveOrEnqueue(turn, mayWait)
	if waiter == nil {
		return slot, err
	}
	started := time.Now()
	defer g.metrics.limitWait.UpdateDuration(started)
	select {
	case r := <-waiter.result:
		if r.err == nil {
			g.opts.Log.Info().Str("request", turn.request).Str("upstream", r.slot.upstream.ID).
				Dur("waited_ms", time.Since(started)).Msg("request waited for the limit of an upstream")
		}
		return r.slot, r.err
	case <-ctx.Done():
		g.leaveLimitQueue(waiter)
		return reservedSlot{}, unavailable(outcome.KindDeadline,
			"the request ended while it waited for the limits of upstreams", retryAfterBusy)
	}
}

// reserveOrEnqueue returns the slot of the request, a waiter if it has to wait, or a refusal.
func (g *Gateway) reserveOrEnqueue(turn limitTurn, mayWait bool) (reservedSlot, *limitWaiter, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wantAny(turn.scope, turn.background, now)
	u, found, limited := turn.choose(false, now)
	switch {
	case found:
		return g.acquire(u, now), nil, nil
	case !limited:
		return reservedSlot{}, nil, g.refusalIn(turn.scope)
	case !mayWait:
		return reservedSlot{}, nil, g.limitRefusal(retryAfterBusy)
	}
	q := g.limitQueueOf(turn.scope.service)
	next := g.updateRate(q, now)
	g.limitWaiters++
	turn.item.ID, turn.item.Cost = strconv.FormatInt(g.limitWaiters, 10), 1
	decision := q.queue.Enqueue(turn.item, now)
	if decision.Displaced != nil {
		q.finish(decision.Displaced.ID, limitResult{err: g.limitRefusal(decision.DisplacedRetryAfter)})
	}
	if decision.Action == admission.Refuse {
		return reservedSlot{}, nil, g.limitRefusal(decision.RetryAfter)
	}
	g.metrics.limitDeferrals.Inc()
	waiter := &limitWaiter{turn: turn, result: make(chan limitResult, 1)}
	q.waiting[turn.item.ID] = waiter
	if q.timer == nil {
		g.scheduleLimitQueue(q, next, now)
	}
	return reservedSlot{}, waiter, nil
}

// limitRefusal returns the refusal of a request that the limits of upstreams leave no room for.
func (g *Gateway) limitRefusal(after time.Duration) error {
	g.metrics.limitRefusals.Inc()
	return unavailable(outcome.KindOverloaded, "the upstreams of the service take no more requests now, because they named limits or are cold",
		min(after, maxLimitRetryAfter))
}

// leaveLimitQueue removes a request whose wait has ended without its turn. One that was counted at an upstream meanwhile is
// not sent; its share is lost.
func (g *Gateway) leaveLimitQueue(w *limitWaiter) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.limitQueueOf(w.turn.scope.service)
	if _, queued := q.queue.Remove(w.turn.item.ID, now); queued {
		delete(q.waiting, w.turn.item.ID)
		return
	}
	if r := <-w.result; r.err == nil {
		g.release(r.slot, now)
	}
}
