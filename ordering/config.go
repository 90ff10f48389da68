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

// Config sets the aim of the orders and how calmly they follow the load.
type Config struct {
	// TargetUtilization is the share of slots, 0 to 1, that the demand should fill.
	TargetUtilization float64
	// Smoothing is the time constant of the demand average.
	Smoothing time.Duration
	// ScaleUpDelay and ScaleDownDelay are how long a higher or lower need must last before it is ordered.
	ScaleUpDelay, ScaleDownDelay time.Duration
}

// DefaultConfig returns the default aim.
func DefaultConfig() Config {
	return Config{
		TargetUtilization: DefaultTargetUtilization, Smoothing: DefaultSmoothing, ScaleUpDelay: DefaultScaleUpDelay, ScaleDownDelay: DefaultScaleDownDelay,
	}
}

// Validate returns an error that names the faulty field and the remedy.
func (c Config) Validate() error {
	switch {
	case c.TargetUtilization <= 0 || c.TargetUtilization > 1:
		return fmt.Errorf("ordering: utilisation %g is not in (0, 1]; set Utilisation", c.TargetUtilization)
	case c.Smoothing <= 0:
		return fmt.Errorf("ordering: smoothing %s is not positive; set Smoothing", c.Smoothing)
	case c.ScaleUpDelay < 0 || c.ScaleDownDelay < c.ScaleUpDelay:
		return fmt.Errorf("ordering: hold times %s and %s; make DownHold at least UpHold", c.ScaleUpDelay, c.ScaleDownDelay)
	}
	return nil
}
