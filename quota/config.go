package quota

import "time"

// Config holds the parameters of the division. They must be the same on all entries.
type Config struct {
	// MaxEntries is the largest number of entries that may run at the same time.
	MaxEntries int
	// StaticFraction is the part of a limit, between 0 and 1, that is divided evenly and needs no role holder. The rest is
	// granted by demand.
	StaticFraction float64
	// GrantDuration is how long a grant is valid.
	GrantDuration time.Duration
	// Burst is the capacity of a token bucket, as the time in which it fills at the current rate.
	Burst time.Duration
	// DemandInterval is the interval over which demand is measured.
	DemandInterval time.Duration
}

// defaultStaticFraction is a quarter, because the static part can be used fully only if MaxEntries entries run. With 6
// of 16 entries and even demand, a half left 0.351 of the limit unused and a quarter 0.213 (package measure, scenario
// (f)). The static part is also what entries fall back to between two holders of the role, for less than a minute.
const defaultStaticFraction = 0.25

// DefaultConfig returns parameters for up to 16 entries. Grants last for three request intervals of one second, so that
// an entry does not fall back to its static rate after one lost reply.
func DefaultConfig() Config {
	return Config{
		MaxEntries:     16,
		StaticFraction: defaultStaticFraction,
		GrantDuration:  3 * time.Second,
		Burst:          2 * time.Second,
		DemandInterval: time.Second,
	}
}

// GrantedRate returns the part of a limit that the role holder divides by demand.
func (c Config) GrantedRate(limit float64) float64 { return limit * (1 - c.StaticFraction) }

// StaticRate returns the part of a limit that each entry may use without a grant.
func (c Config) StaticRate(limit float64) float64 {
	return limit * c.StaticFraction / float64(max(c.MaxEntries, 1))
}
