package quota

import "time"

// Config is the same on all entries.
type Config struct {
	// MaxEntries is the largest number of entries that may run.
	MaxEntries int
	// StaticPart is the part of a limit that is divided evenly and needs no role holder, between 0 and 1. The rest is
	// granted by demand.
	StaticPart float64
	// GrantFor is the validity of a grant.
	GrantFor time.Duration
	// Burst is how many seconds of its rate an entry may save up.
	Burst time.Duration
	// DemandInterval is the time over which demand is measured.
	DemandInterval time.Duration
}

// DefaultConfig returns values for today's sizes. Grants last three request intervals of one second, so that a lost
// reply does not drop an entry to its static share.
func DefaultConfig() Config {
	return Config{
		MaxEntries:     16,
		StaticPart:     0.5,
		GrantFor:       3 * time.Second,
		Burst:          2 * time.Second,
		DemandInterval: time.Second,
	}
}

// GrantedRate is the part of a limit that the role holder divides.
func (c Config) GrantedRate(limit float64) float64 { return limit * (1 - c.StaticPart) }

// StaticRate is the part of a limit that each entry may use without a grant.
func (c Config) StaticRate(limit float64) float64 {
	return limit * c.StaticPart / float64(max(c.MaxEntries, 1))
}
