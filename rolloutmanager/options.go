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

// Defaults of Options.
const (
	defaultInterval    = 500 * time.Millisecond
	defaultCallTimeout = 3 * time.Second
)

// ConfigWriter writes a configuration object if its current revision is expected; otherwise it returns an error.
type ConfigWriter interface {
	Write(ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64) (revision int64, err error)
}

// PolicyRollout is the currently configured rollout of a policy.
type PolicyRollout struct {
	Policy string
	// Revision is the revision of the rollout object; 0 if the policy has none yet.
	Revision int64
	Rollout  fleetconfig.Rollout
}

// Options configures a Manager.
type Options struct {
	Table     hosting.Table
	Config    ConfigWriter
	Authority roles.Authority
	Planning  rollout.Config
	// Rollouts returns the current rollout of every policy that has engines.
	Rollouts func() []PolicyRollout
	// Engines returns the engines of a policy.
	Engines  func(policy string, now time.Time) []rollout.Engine
	Log      zerolog.Logger
	Registry *telemetry.Registry
	// Interval is the time between two rounds; 0 means 500 ms.
	Interval time.Duration
	// CallTimeout limits the calls for one policy in a round; 0 means 3 s.
	CallTimeout time.Duration
	// Now returns the current time; nil means time.Now.
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
