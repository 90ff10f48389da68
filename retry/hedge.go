package retry

import "time"

// HedgeConfig says when a running attempt is slow enough to be duplicated.
type HedgeConfig struct {
	// Quantile of the observed latency after which an attempt counts as a straggler.
	Quantile float64
	// MinDelay is the shortest delay, whatever was observed.
	MinDelay time.Duration
	// MinObservations is how many latencies must be known; a delay from fewer is noise.
	MinObservations int
}

// DefaultHedgeConfig duplicates an attempt that is slower than 39 of 40. The last sample of a group of 8 is the slowest
// of eight, so that a third of the groups pass the 95th percentile without a fault; with it, a fifth more tokens were
// wasted in the group scenario of package measure and the trainer waited no less.
func DefaultHedgeConfig() HedgeConfig {
	return HedgeConfig{Quantile: 0.975, MinDelay: 500 * time.Millisecond, MinObservations: 20}
}

// Straggler holds the facts about a running attempt.
type Straggler struct {
	Idempotent bool
	// Missing counts the samples of the group that are not complete, this one included.
	Missing int
	// Copies counts the running attempts of this sample.
	Copies int
	// Running is the time since the first attempt was sent.
	Running      time.Duration
	DeadlineLeft time.Duration
}

// HedgeReason says why an attempt is or is not duplicated.
type HedgeReason string

// Reasons of a hedge decision.
const (
	HedgeSlow          HedgeReason = "slow"
	HedgeNotIdempotent HedgeReason = "not_idempotent"
	HedgeNotLast       HedgeReason = "not_last_missing"
	HedgeAlready       HedgeReason = "already_hedged"
	HedgeUnknown       HedgeReason = "too_few_observations"
	HedgeEarly         HedgeReason = "not_slow_yet"
	HedgeDeadline      HedgeReason = "deadline"
	HedgeBudget        HedgeReason = "budget_empty"
)

// Delay returns the running time after which an attempt may be duplicated; false while too little was observed.
func (c HedgeConfig) Delay(observed *Latencies) (time.Duration, bool) {
	if observed.Count() < c.MinObservations {
		return 0, false
	}
	return max(observed.Quantile(c.Quantile), c.MinDelay), true
}

// Hedge decides whether to send a second copy. A positive decision has spent one retry from budget.
func (c HedgeConfig) Hedge(s Straggler, observed *Latencies, budget *Budget, now time.Time) (bool, HedgeReason) {
	switch {
	case !s.Idempotent:
		return false, HedgeNotIdempotent
	case s.Missing != 1:
		return false, HedgeNotLast
	case s.Copies > 1:
		return false, HedgeAlready
	}
	delay, known := c.Delay(observed)
	switch {
	case !known:
		return false, HedgeUnknown
	case s.Running < delay:
		return false, HedgeEarly
	case s.DeadlineLeft < observed.Quantile(0.5):
		return false, HedgeDeadline
	case !budget.Spend(now):
		return false, HedgeBudget
	}
	return true, HedgeSlow
}
