package rollout

import (
	"fmt"
	"math"
	"time"
)

// Defaults of Config.
const (
	DefaultStageTimeout      = 5 * time.Minute
	DefaultMinStagedFraction = 0.75
	DefaultStragglerFactor   = 1.5
	DefaultMinWait           = 10 * time.Second
)

// Config bounds how long activation waits for slow engines.
type Config struct {
	// StageTimeout is how long activation waits for every engine.
	StageTimeout time.Duration
	// MinStagedFraction is the share of engines, 0 to 1, that must have staged the version after the timeout or the patience.
	MinStagedFraction float64
	// StragglerFactor is how many times as long as MinShare of the engines took to stage the version activation waits for the
	// others, at least 1. A few engines that hang would otherwise hold back the version for StageTimeout.
	StragglerFactor float64
	// MinWait is the shortest wait after the start of staging, so that a quick staging does not end on a late heartbeat.
	MinWait time.Duration
}

// DefaultConfig returns the default bounds.
func DefaultConfig() Config {
	return Config{
		StageTimeout: DefaultStageTimeout, MinStagedFraction: DefaultMinStagedFraction, StragglerFactor: DefaultStragglerFactor, MinWait: DefaultMinWait,
	}
}

// Validate returns an error that names the faulty field and the remedy.
func (c Config) Validate() error {
	if c.StageTimeout <= 0 {
		return fmt.Errorf("rollout: stage timeout %s is not positive; set StageTimeout", c.StageTimeout)
	}
	if c.MinStagedFraction <= 0 || c.MinStagedFraction > 1 {
		return fmt.Errorf("rollout: share %g is not in (0, 1]; set MinShare", c.MinStagedFraction)
	}
	if !(c.StragglerFactor >= 1) || math.IsInf(c.StragglerFactor, 1) {
		return fmt.Errorf("rollout: patience %g is not a finite factor of at least 1; set Patience", c.StragglerFactor)
	}
	if c.MinWait < 0 || c.MinWait > c.StageTimeout {
		return fmt.Errorf("rollout: wait %s is not between 0 and the stage timeout %s; set MinWait", c.MinWait, c.StageTimeout)
	}
	return nil
}
