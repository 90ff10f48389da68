package quota

import "time"

// bucket is the token bucket of one workspace at one entry. Unlike golang.org/x/time/rate it can go into debt, which
// a request needs that costs more than the bucket holds or more than was estimated.
type bucket struct {
	limit       float64
	grantedRate float64
	grantUntil  time.Time
	balance     float64
	accruedAt   time.Time
	// lastTake is the time of the last take.
	lastTake time.Time
	// requested counts the tokens asked for in the current interval, allowed or not.
	requested     float64
	intervalStart time.Time
	demand        float64
}

// rate is the sum of the static share and a valid grant.
func (b *bucket) rate(cfg Config, now time.Time) float64 {
	r := cfg.StaticRate(b.limit)
	if now.Before(b.grantUntil) {
		r += b.grantedRate
	}
	return r
}

// accrue adds the tokens earned since the last call, each part of the time at the rate that was valid then.
func (b *bucket) accrue(cfg Config, now time.Time) {
	if !now.After(b.accruedAt) {
		return
	}
	earned := cfg.StaticRate(b.limit) * now.Sub(b.accruedAt).Seconds()
	granted := now
	if b.grantUntil.Before(granted) {
		granted = b.grantUntil
	}
	if granted.After(b.accruedAt) {
		earned += b.grantedRate * granted.Sub(b.accruedAt).Seconds()
	}
	b.accruedAt = now
	// A balance above the cap comes from a larger grant that has ended; it is cut, so that bursts follow the rate.
	b.balance = min(b.balance+earned, b.rate(cfg, now)*cfg.Burst.Seconds())
}

// take spends cost when the balance covers it, or is full for a cost above the cap.
func (b *bucket) take(cfg Config, cost float64, now time.Time) Verdict {
	b.accrue(cfg, now)
	b.lastTake = now
	b.requested += cost
	rate := b.rate(cfg, now)
	needed := min(cost, rate*cfg.Burst.Seconds())
	if b.balance < needed-roundingTolerance {
		return Verdict{RetryAfter: retryAfter((needed - b.balance) / rate)}
	}
	b.balance -= cost
	return Verdict{Allowed: true}
}

// roundingTolerance, in tokens, absorbs floating-point error in the accrual.
const roundingTolerance = 1e-6

// maxRetryAfter bounds the advice; a tiny share would otherwise overflow a duration.
const maxRetryAfter = time.Hour

func retryAfter(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// demandSmoothing is the weight of the newest interval. The granter must reserve the largest unexpired grant of each
// entry, so that demand which jumps from second to second would leave most of the limit reserved and unused.
const demandSmoothing = 0.3

// updateDemand closes the demand interval when it is over.
func (b *bucket) updateDemand(cfg Config, now time.Time) {
	elapsed := now.Sub(b.intervalStart)
	if elapsed < cfg.DemandInterval || elapsed <= 0 {
		return
	}
	measured := b.requested / elapsed.Seconds()
	if b.demand == 0 {
		b.demand = measured
	}
	b.demand += demandSmoothing * (measured - b.demand)
	b.requested = 0
	b.intervalStart = now
}
