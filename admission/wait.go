package admission

import "time"

// maxWait keeps the arithmetic on durations away from overflow.
const maxWait = time.Hour

// ExpectedWait estimates how long an item would be queued. A workspace waits for its own backlog at its share of the
// rate, and never longer than for the whole queue.
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

// excessWork is the outstanding work that must finish before the window has room for one more item.
func (q *Queue) excessWork(item Item) float64 {
	excess := float64(max(0, q.outstanding+item.Cost-q.cfg.WindowTokens))
	if n := len(q.running); n > 0 && n >= q.cfg.WindowItems {
		excess = max(excess, float64(q.outstanding)/float64(n))
	}
	return excess
}

// Rate returns the service rate in tokens per second that the estimate uses.
func (q *Queue) Rate() float64 { return q.meter.rate }

func (q *Queue) timeToServe(tokens float64) time.Duration {
	if q.meter.rate <= 0 {
		return maxWait
	}
	seconds := min(tokens/q.meter.rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// activeWeight is the weight of all backlogged workspaces, the item's own included.
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

// overrun is how much too long the wait is for the item's deadline; it is not positive when the item may wait.
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

func (q *Queue) refuse(reason Reason, after, wait time.Duration) Verdict {
	return Verdict{Action: Refuse, Reason: reason, ExpectedWait: wait, RetryAfter: q.withJitter(after)}
}

// withJitter lengthens an advice by a random share.
func (q *Queue) withJitter(after time.Duration) time.Duration {
	after = max(after, q.cfg.MinRetryAfter)
	return after + time.Duration(q.rng.Float64()*q.cfg.RetryJitter*float64(after))
}

// RetryAfter is the spread advice for an item that was given up after it had been queued.
func (q *Queue) RetryAfter(item Item) time.Duration { return q.withJitter(q.ExpectedWait(item)) }
