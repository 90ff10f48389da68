package admission

import "time"

// Config bounds a Queue.
type Config struct {
	// WindowTokens and WindowItems bound the admitted work that is not done.
	WindowTokens int64
	WindowItems  int
	// MaxItems bounds the queue over all workspaces.
	MaxItems int
	// TokensPerSecond is the service rate that is assumed until enough work was done to measure it.
	TokensPerSecond float64
	// RateInterval is the time over which the service rate is measured.
	RateInterval time.Duration
	// MaxWaitShare is the largest share of the time until its deadline, 0 to 1, that an item may be expected to wait; 0
	// means no bound. A longer queue serves no more under a lasting overload: its items finish later, some of them after
	// their deadline, and new ones are refused until it has drained.
	MaxWaitShare float64
	// MinRetryAfter is the shortest advice to come back; Spread is the largest random share added to it, so that
	// refused callers do not come back at the same moment.
	MinRetryAfter time.Duration
	RetryJitter   float64
}

// DefaultMaxWaitShare lets an item wait a quarter of its time. In the overload scenarios of package measure, a half lost
// up to a twelfth of the capacity to late answers, and a tenth gained little more than a quarter.
const DefaultMaxWaitShare = 0.25

// DefaultConfig returns the values for one entry in front of a few engines.
func DefaultConfig() Config {
	return Config{
		WindowTokens:    64_000,
		WindowItems:     256,
		MaxItems:        2_000,
		TokensPerSecond: 4_000,
		RateInterval:    2 * time.Second,
		MaxWaitShare:    DefaultMaxWaitShare,
		MinRetryAfter:   time.Second,
		RetryJitter:     0.5,
	}
}
