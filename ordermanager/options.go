package ordermanager

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Default intervals of a Manager.
const (
	defaultInterval    = time.Second
	defaultCallTimeout = 3 * time.Second
)

// Options configures a Manager.
type Options struct {
	Table     hosting.Table
	Orders    hosting.Orders
	Authority roles.Authority
	Planning  ordering.Config
	// Signals returns the current load of every pool.
	Signals  func(now time.Time) []ordering.Signal
	Log      zerolog.Logger
	Registry *telemetry.Registry
	// Interval is the time between two rounds, and CallTimeout limits one platform call. 0 selects the default.
	Interval    time.Duration
	CallTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (o *Options) setDefaults() {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Registry == nil {
		o.Registry = telemetry.NewRegistry()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}
