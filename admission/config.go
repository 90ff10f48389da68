package admission

import "time"

// Config holds the limits of a Queue.
type Config struct {
	// WindowTokens and WindowItems limit the work that is admitted and not done.
	WindowTokens int64
	WindowItems  int
	// MaxItems limits the number of queued items of all workspaces together.
	MaxItems int
	// TokensPerSecond is the service rate assumed until it has been measured.
	TokensPerSecond float64
	// RateInterval is the time over which the service rate is measured.
	RateInterval time.Duration
	// MaxWaitShare is the largest share of the time until its deadline, 0 to 1, that an item may be expected to wait; 0
	// means no limit. A longer queue does not raise throughput under sustained overload: its items finish later, some of
	// them after their deadline, and new ones are refused until it has drained.
	MaxWaitShare float64
	// MinRetryAfter is the shortest time returned as RetryAfter. RetryJitter is the largest random share added to a
	// RetryAfter, so that refused callers do not all retry at the same moment.
	MinRetryAfter time.Duration
	RetryJitter   float64
}

// DefaultMaxWaitShare lets an item wait for a quarter of the time until its deadline. In the overload scenarios of
// package measure, a share of one half lost up to a twelfth of the capacity to late responses, and one tenth was little
// better than a quarter.
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
