package quota

import "time"

// Config is the same on all entries.
type Config struct {
	// MaxEntries is the largest number of entries that may run.
	MaxEntries int
	// StaticFraction is the part of a limit that is divided evenly and needs no role holder, between 0 and 1. The rest is
	// granted by demand.
	StaticFraction float64
	// GrantDuration is the validity of a grant.
	GrantDuration time.Duration
	// Burst is how many seconds of its rate an entry may save up.
	Burst time.Duration
	// DemandInterval is the time over which demand is measured.
	DemandInterval time.Duration
}

// defaultStaticFraction is a quarter: the static part is used up only if the maximum of entries runs. With 6 of 16 entries and
// even demand, a half left 0.351 of the limit unused and a quarter 0.213 (package measure, scenario (f)). It is also what
// entries fall back to between two holders of the role, for less than a minute.
const defaultStaticFraction = 0.25

// DefaultConfig returns values for today's sizes. Grants last three request intervals of one second, so that a lost
// reply does not drop an entry to its static share.
func DefaultConfig() Config {
	return Config{
		MaxEntries:     16,
		StaticFraction: defaultStaticFraction,
		GrantDuration:  3 * time.Second,
		Burst:          2 * time.Second,
		DemandInterval: time.Second,
	}
}

// GrantedRate is the part of a limit that the role holder divides.
func (c Config) GrantedRate(limit float64) float64 { return limit * (1 - c.StaticFraction) }

// StaticRate is the part of a limit that each entry may use without a grant.
func (c Config) StaticRate(limit float64) float64 {
	return limit * c.StaticFraction / float64(max(c.MaxEntries, 1))
}
