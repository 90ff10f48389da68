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
	// MinRetryAfter is the shortest advice to come back; Spread is the largest random share added to it, so that
	// refused callers do not come back at the same moment.
	MinRetryAfter time.Duration
	Spread        float64
}

// DefaultConfig returns the values for one entry in front of a few engines.
func DefaultConfig() Config {
	return Config{
		WindowTokens:    64_000,
		WindowItems:     256,
		MaxItems:        2_000,
		TokensPerSecond: 4_000,
		RateInterval:    2 * time.Second,
		MinRetryAfter:   time.Second,
		Spread:          0.5,
	}
}
