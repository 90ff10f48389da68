package quarantine

import "time"

// Config holds the limits of a List.
type Config struct {
	// Retention is how long a suspect is remembered after its last death.
	Retention time.Duration
	// RefuseAfterDeaths is the number of deaths at which a fingerprint is refused.
	RefuseAfterDeaths int
	// MaxSuspects limits memory use; the suspects with the fewest deaths and the least time left are evicted first.
	MaxSuspects int
}

// DefaultConfig returns the values that entries and agents use.
func DefaultConfig() Config {
	return Config{Retention: 10 * time.Minute, RefuseAfterDeaths: 2, MaxSuspects: 4096}
}
