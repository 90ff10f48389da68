package quarantine

import "time"

// Config bounds a List.
type Config struct {
	// Hold is how long a suspect is remembered after its last death.
	Hold time.Duration
	// RefuseDeaths is the number of deaths from which a fingerprint is refused.
	RefuseDeaths int
	// MaxSuspects bounds the memory; the suspects with the fewest deaths and the least time left go first.
	MaxSuspects int
}

// DefaultConfig returns the values that entries and agents use.
func DefaultConfig() Config {
	return Config{Hold: 10 * time.Minute, RefuseDeaths: 2, MaxSuspects: 4096}
}
