package rolloutmanager

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/rollout"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Default intervals of a Manager.
const (
	defaultInterval    = 500 * time.Millisecond
	defaultCallTimeout = 3 * time.Second
)

// ConfigWriter writes a configuration object on condition of its revision. A failed condition is an error.
type ConfigWriter interface {
	Write(ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64) (revision int64, err error)
}

// PolicyRollout is a policy's rollout as configured now.
type PolicyRollout struct {
	Policy string
	// Revision is 0 when the policy has no rollout object yet.
	Revision int64
	Rollout  fleetconfig.Rollout
}

// Options configures a Manager.
type Options struct {
	Table     hosting.Table
	Config    ConfigWriter
	Authority roles.Authority
	Planning  rollout.Config
	// Rollouts returns every policy that engines serve.
	Rollouts func() []PolicyRollout
	// Engines returns the engines of a policy.
	Engines  func(policy string, now time.Time) []rollout.Engine
	Log      zerolog.Logger
	Registry *telemetry.Registry
	// Interval between two rounds and CallTimeout of one call default when 0.
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
