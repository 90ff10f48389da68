package ordering

import (
	"fmt"
	"time"
)

// Defaults of Config.
const (
	DefaultTargetUtilization = 0.7
	DefaultSmoothing         = 20 * time.Second
	DefaultScaleUpDelay      = 15 * time.Second
	DefaultScaleDownDelay    = 5 * time.Minute
)

// Config configures the target utilization and how quickly orders follow the load.
type Config struct {
	// TargetUtilization is the fraction of slots, in (0, 1], that the demand should occupy.
	TargetUtilization float64
	// Smoothing is the time constant of the exponential moving average of the demand.
	Smoothing time.Duration
	// ScaleUpDelay and ScaleDownDelay are how long the required count must stay above or below the ordered count before
	// the change is ordered.
	ScaleUpDelay, ScaleDownDelay time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		TargetUtilization: DefaultTargetUtilization, Smoothing: DefaultSmoothing,
		ScaleUpDelay: DefaultScaleUpDelay, ScaleDownDelay: DefaultScaleDownDelay,
	}
}

// Validate returns an error that names the invalid field and how to correct it.
func (c Config) Validate() error {
	switch {
	case c.TargetUtilization <= 0 || c.TargetUtilization > 1:
		return fmt.Errorf("ordering: target utilization %g is not in (0, 1]; set TargetUtilization", c.TargetUtilization)
	case c.Smoothing <= 0:
		return fmt.Errorf("ordering: smoothing %s is not positive; set Smoothing", c.Smoothing)
	case c.ScaleUpDelay < 0 || c.ScaleDownDelay < c.ScaleUpDelay:
		return fmt.Errorf("ordering: invalid scaling delays %s and %s; set 0 <= ScaleUpDelay <= ScaleDownDelay",
			c.ScaleUpDelay, c.ScaleDownDelay)
	}
	return nil
}
