package quota

import "time"

// bucket is the token bucket of one workspace on one entry. Unlike the limiter of golang.org/x/time/rate it allows a
// negative balance, for requests that cost more than the bucket's capacity or more than was estimated.
type bucket struct {
	// limit is the rate limit of the workspace over all entries, in tokens per second.
	limit       float64
	grantedRate float64
	grantUntil  time.Time
	balance     float64
	accruedAt   time.Time
	lastTake    time.Time
	// requested is the number of tokens requested in the current demand interval, allowed or not.
	requested     float64
	intervalStart time.Time
	demand        float64
}

// rate returns the static rate plus the granted rate while the grant is valid.
func (b *bucket) rate(cfg Config, now time.Time) float64 {
	r := cfg.StaticRate(b.limit)
	if now.Before(b.grantUntil) {
		r += b.grantedRate
	}
	return r
}

// accrue adds the tokens earned since the last call. A grant that expired in between counts only until its expiry.
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
	// A balance above the capacity was earned with a larger grant that has expired. It is reduced, so that bursts follow
	// the current rate.
	b.balance = min(b.balance+earned, b.rate(cfg, now)*cfg.Burst.Seconds())
}

// take subtracts cost if the balance covers it. For a cost above the capacity, a full bucket suffices.
func (b *bucket) take(cfg Config, cost float64, now time.Time) Decision {
	b.accrue(cfg, now)
	b.lastTake = now
	b.requested += cost
	rate := b.rate(cfg, now)
	needed := min(cost, rate*cfg.Burst.Seconds())
	if b.balance < needed-roundingTolerance {
		return Decision{RetryAfter: retryAfter((needed - b.balance) / rate)}
	}
	b.balance -= cost
	return Decision{Allowed: true}
}

// roundingTolerance, in tokens, absorbs floating-point error in the accrual.
const roundingTolerance = 1e-6

// maxRetryAfter limits the retry delay, which would overflow a duration for a very small rate.
const maxRetryAfter = time.Hour

// retryAfter converts seconds to a retry delay of at most maxRetryAfter.
func retryAfter(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// demandSmoothing is the weight of the newest interval in the moving average of the demand. The granter must reserve
// the largest unexpired grant of each entry, so demand that varies strongly from second to second would leave most of
// the limit reserved and unused.
const demandSmoothing = 0.3

// updateDemand updates the demand at the end of a demand interval and starts the next interval.
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
