package rollout

import (
	"fmt"
	"time"
)

// Defaults of Config.
const (
	DefaultStageTimeout = 5 * time.Minute
	DefaultMinShare     = 0.75
)

// Config bounds how long activation waits for slow engines.
type Config struct {
	// StageTimeout is how long activation waits for every engine.
	StageTimeout time.Duration
	// MinShare is the share of engines, 0 to 1, that must have staged the version after the timeout.
	MinShare float64
}

// DefaultConfig returns the default bounds.
func DefaultConfig() Config {
	return Config{StageTimeout: DefaultStageTimeout, MinShare: DefaultMinShare}
}

// Validate returns an error that names the faulty field and the remedy.
func (c Config) Validate() error {
	if c.StageTimeout <= 0 {
		return fmt.Errorf("rollout: stage timeout %s is not positive; set StageTimeout", c.StageTimeout)
	}
	if c.MinShare <= 0 || c.MinShare > 1 {
		return fmt.Errorf("rollout: share %g is not in (0, 1]; set MinShare", c.MinShare)
	}
	return nil
}
