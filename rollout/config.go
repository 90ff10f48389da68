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

// Config limits how long activation waits for slow engines.
type Config struct {
	// StageTimeout is how long activation waits for all engines.
	StageTimeout time.Duration
	// MinStagedFraction is the fraction of engines, in (0, 1], that must have staged the version before it is activated
	// without the others.
	MinStagedFraction float64
	// StragglerFactor, at least 1, times the time that MinStagedFraction of the engines took to stage the version is
	// how long activation waits for the others. Without it, a few hung engines would delay the version for
	// StageTimeout.
	StragglerFactor float64
	// MinWait is the minimum wait after the start of staging, so that after a quick staging an engine is not skipped
	// because of a late heartbeat.
	MinWait time.Duration
}

// DefaultConfig returns a Config with the default values.
func DefaultConfig() Config {
	return Config{
		StageTimeout: DefaultStageTimeout, MinStagedFraction: DefaultMinStagedFraction,
		StragglerFactor: DefaultStragglerFactor, MinWait: DefaultMinWait,
	}
}

// Validate returns an error that names the first invalid field and its valid range.
func (c Config) Validate() error {
	if c.StageTimeout <= 0 {
		return fmt.Errorf("rollout: stage timeout %s is not positive; set StageTimeout to a positive duration", c.StageTimeout)
	}
	if c.MinStagedFraction <= 0 || c.MinStagedFraction > 1 {
		return fmt.Errorf("rollout: minimum staged fraction %g is not in (0, 1]; set MinStagedFraction", c.MinStagedFraction)
	}
	if !(c.StragglerFactor >= 1) || math.IsInf(c.StragglerFactor, 1) {
		return fmt.Errorf("rollout: straggler factor %g is not a finite number of at least 1; set StragglerFactor", c.StragglerFactor)
	}
	if c.MinWait < 0 || c.MinWait > c.StageTimeout {
		return fmt.Errorf("rollout: minimum wait %s is not between 0 and the stage timeout %s; set MinWait", c.MinWait, c.StageTimeout)
	}
	return nil
}
