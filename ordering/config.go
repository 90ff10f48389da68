package ordering

import (
	"fmt"
	"time"
)

// Defaults of Config.
const (
	DefaultUtilisation = 0.7
	DefaultSmoothing   = 20 * time.Second
	DefaultUpHold      = 15 * time.Second
	DefaultDownHold    = 5 * time.Minute
)

// Config sets the aim of the orders and how calmly they follow the load.
type Config struct {
	// Utilisation is the share of slots, 0 to 1, that the demand should fill.
	Utilisation float64
	// Smoothing is the time constant of the demand average.
	Smoothing time.Duration
	// UpHold and DownHold are how long a higher or lower need must last before it is ordered.
	UpHold, DownHold time.Duration
}

// DefaultConfig returns the default aim.
func DefaultConfig() Config {
	return Config{
		Utilisation: DefaultUtilisation, Smoothing: DefaultSmoothing, UpHold: DefaultUpHold, DownHold: DefaultDownHold,
	}
}

// Validate returns an error that names the faulty field and the remedy.
func (c Config) Validate() error {
	switch {
	case c.Utilisation <= 0 || c.Utilisation > 1:
		return fmt.Errorf("ordering: utilisation %g is not in (0, 1]; set Utilisation", c.Utilisation)
	case c.Smoothing <= 0:
		return fmt.Errorf("ordering: smoothing %s is not positive; set Smoothing", c.Smoothing)
	case c.UpHold < 0 || c.DownHold < c.UpHold:
		return fmt.Errorf("ordering: hold times %s and %s; make DownHold at least UpHold", c.UpHold, c.DownHold)
	}
	return nil
}
