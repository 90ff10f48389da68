package admission

import "time"

// maxWait limits estimated waits, so that arithmetic on durations does not overflow.
const maxWait = time.Hour

// ExpectedWait estimates how long an item would be queued. An item waits for the backlog of its own workspace, served
// at the workspace's share of the rate, but never longer than for the whole queue.
func (q *Queue) ExpectedWait(item Item) time.Duration {
	if q.queuedItems == 0 && q.fits(item) {
		return 0
	}
	tokens := float64(q.queuedTokens)
	if f, ok := q.flows[item.Workspace]; ok {
		tokens = min(tokens, float64(f.tokensAhead(item))*q.activeWeight(item)/item.weight())
	} else {
		tokens = 0
	}
	return q.timeToServe(tokens + q.excessWork(item))
}

// excessWork returns the tokens of outstanding work that must finish before the window has room for the item.
func (q *Queue) excessWork(item Item) float64 {
	excess := float64(max(0, q.outstanding+item.Cost-q.cfg.WindowTokens))
	if n := len(q.running); n > 0 && n >= q.cfg.WindowItems {
		excess = max(excess, float64(q.outstanding)/float64(n))
	}
	return excess
}

// Rate returns the service rate in tokens per second on which the estimates are based.
func (q *Queue) Rate() float64 { return q.meter.rate }

func (q *Queue) timeToServe(tokens float64) time.Duration {
	if q.meter.rate <= 0 {
		return maxWait
	}
	seconds := min(tokens/q.meter.rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// activeWeight returns the total weight of all backlogged workspaces and the item's own.
func (q *Queue) activeWeight(item Item) float64 {
	sum := item.weight()
	for name, f := range q.flows {
		if name != item.Workspace && f.len() > 0 {
			sum += f.weight
		}
	}
	return sum
}

func (i Item) weight() float64 {
	if i.Weight <= 0 {
		return 1
	}
	return i.Weight
}

// overrun returns by how much a wait exceeds the longest one allowed for the item; it is at most 0 when the item may
// wait.
func (q *Queue) overrun(item Item, wait time.Duration, now time.Time) time.Duration {
	if item.Deadline.IsZero() {
		return 0
	}
	left := item.Deadline.Sub(now)
	allowed := left - item.ServiceTime
	if q.cfg.MaxWaitShare > 0 {
		allowed = min(allowed, time.Duration(q.cfg.MaxWaitShare*float64(left)))
	}
	return wait - allowed
}

func (q *Queue) refuse(reason Reason, after, wait time.Duration) Decision {
	return Decision{Action: Refuse, Reason: reason, ExpectedWait: wait, RetryAfter: q.withJitter(after)}
}

// withJitter raises a retry delay to MinRetryAfter and lengthens it by a random share of up to RetryJitter.
func (q *Queue) withJitter(after time.Duration) time.Duration {
	after = max(after, q.cfg.MinRetryAfter)
	return after + time.Duration(q.rng.Float64()*q.cfg.RetryJitter*float64(after))
}

// RetryAfter returns the retry delay, with jitter, for an item that was removed from the queue.
func (q *Queue) RetryAfter(item Item) time.Duration { return q.withJitter(q.ExpectedWait(item)) }
