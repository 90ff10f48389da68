package admission

import (
	"math/rand"
	"time"
)

// runningItem is an admitted item that is not done.
type runningItem struct {
	workspace  string
	cost       int64
	admittedAt time.Time
}

// Queue is the admission queue of one entry.
type Queue struct {
	cfg          Config
	rng          *rand.Rand
	flows        map[string]*flow
	virtualTime  float64
	queuedItems  int
	queuedTokens int64
	running      map[string]runningItem
	// outstanding is the cost of all running items.
	outstanding  int64
	meter        rateMeter
	serviceTimes serviceTimes
}

// New returns an empty queue. rng is the source of the jitter in RetryAfter times.
func New(cfg Config, rng *rand.Rand) *Queue {
	return &Queue{
		cfg:          cfg,
		rng:          rng,
		flows:        make(map[string]*flow),
		running:      make(map[string]runningItem),
		meter:        rateMeter{interval: cfg.RateInterval, rate: cfg.TokensPerSecond},
		serviceTimes: newServiceTimes(),
	}
}

// Offer admits, queues or refuses a new item. An item that cannot finish before its deadline, or whose expected wait
// exceeds MaxWaitShare, is refused at once instead of being queued.
func (q *Queue) Offer(item Item, now time.Time) Decision {
	item = q.withDefaults(item, now)
	admitted := q.queuedItems == 0 && q.fits(item)
	decision := q.enqueue(item, q.ExpectedWait(item), now)
	if admitted && decision.Action == Wait {
		q.admit(q.flows[item.Workspace], now)
		q.meter.setBacklogged(false, now)
		decision.Action = Admit
	}
	return decision
}

// Enqueue queues or refuses a new item like Offer, but never admits it at once: the caller decides when Next is called,
// at the rate that it has set with SetRate.
func (q *Queue) Enqueue(item Item, now time.Time) Decision {
	item = q.withDefaults(item, now)
	return q.enqueue(item, q.ExpectedWait(item)+q.timeToServe(float64(item.Cost)), now)
}

// SetRate sets the service rate on which estimates are based, in tokens a second.
func (q *Queue) SetRate(tokensPerSecond float64) { q.meter.rate = tokensPerSecond }

func (q *Queue) withDefaults(item Item, now time.Time) Item {
	item.Cost = max(item.Cost, 1)
	if item.Weight <= 0 {
		item.Weight = 1
	}
	if item.ServiceTime == 0 {
		item.ServiceTime = q.serviceTimes.estimate(item, now)
	}
	return item
}

// enqueue queues an item that is expected to wait for the given time, or refuses it.
func (q *Queue) enqueue(item Item, wait time.Duration, now time.Time) Decision {
	if overrun := q.overrun(item, wait, now); overrun > 0 {
		return q.refuse(ReasonDeadline, overrun, wait)
	}
	decision := Decision{Action: Wait, ExpectedWait: wait}
	if q.queuedItems >= q.cfg.MaxItems {
		overShare := q.mostOverShare(item)
		if overShare == nil {
			return q.refuse(ReasonQueueFull, wait, wait)
		}
		displaced := q.removeLast(overShare)
		decision.Displaced = &displaced
		decision.DisplacedRetryAfter = q.withJitter(q.ExpectedWait(displaced))
	}
	q.flowFor(item).push(item)
	q.queuedItems++
	q.queuedTokens += item.Cost
	q.meter.setBacklogged(true, now)
	return decision
}

// Next admits the item to be served next. It returns false when the queue is empty or the window has no room. An item
// that can no longer finish in time is left for Expire.
func (q *Queue) Next(now time.Time) (Item, bool) {
	f := q.nextFlow()
	if f == nil || !q.fits(f.head()) || f.head().missesDeadline(0, now) {
		return Item{}, false
	}
	item := q.admit(f, now)
	q.meter.setBacklogged(q.queuedItems > 0, now)
	return item, true
}

// Done ends an admitted item and corrects its cost to the number of tokens actually used, 0 when it did not run. An
// unknown id is ignored.
func (q *Queue) Done(id string, actualTokens int64, now time.Time) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.outstanding -= r.cost
	q.meter.add(actualTokens, now)
	if actualTokens > 0 {
		q.serviceTimes.observe(r.cost, now.Sub(r.admittedAt))
	}
	f := q.flows[r.workspace]
	f.running--
	f.charge(actualTokens - r.cost)
	q.removeIdleFlows()
}

// Expire removes and returns the items that can no longer finish before their deadline. Call it before Next and on a
// timer.
func (q *Queue) Expire(now time.Time) []Item {
	return q.removeWhere(now, func(i Item) bool { return i.missesDeadline(0, now) })
}

// Remove removes one queued item, for example because its caller has disconnected.
func (q *Queue) Remove(id string, now time.Time) (Item, bool) {
	removed := q.removeWhere(now, func(i Item) bool { return i.ID == id })
	if len(removed) == 0 {
		return Item{}, false
	}
	return removed[0], true
}

// RemoveKey removes all queued items of a revoked API key.
func (q *Queue) RemoveKey(key string, now time.Time) []Item {
	return q.removeWhere(now, func(i Item) bool { return i.Key == key })
}

// Close removes all queued items, for a shutdown that does not wait for them.
func (q *Queue) Close(now time.Time) []Item {
	return q.removeWhere(now, func(Item) bool { return true })
}

// SetWindow changes the capacity, for example when upstreams are added or removed.
func (q *Queue) SetWindow(tokens int64, items int) {
	q.cfg.WindowTokens = tokens
	q.cfg.WindowItems = items
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.queuedItems }

// Outstanding returns the cost in tokens of the items that are admitted and not done.
func (q *Queue) Outstanding() int64 { return q.outstanding }
