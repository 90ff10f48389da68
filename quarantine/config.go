package quarantine

import "time"

// Config bounds a List.
type Config struct {
	// Retention is how long a suspect is remembered after its last death.
	Retention time.Duration
	// RefuseAfterDeaths is the number of deaths from which a fingerprint is refused.
	RefuseAfterDeaths int
	// MaxSuspects bounds the memory; the suspects with the fewest deaths and the least time left go first.
	MaxSuspects int
}

// DefaultConfig returns the values that entries and agents use.
func DefaultConfig() Config {
	return Config{Retention: 10 * time.Minute, RefuseAfterDeaths: 2, MaxSuspects: 4096}
}
