package roles

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Default intervals of a Runner.
const (
	defaultTickInterval = 250 * time.Millisecond
	defaultTableTimeout = 2 * time.Second
	// rankDelay is the additional delay per rank before a candidate acquires a vacant role, so that candidates do not
	// race with the preferred one.
	rankDelay = 2 * time.Second
	// maxCandidates limits the number of processes that read a lease row. With 350 entries and four roles, reading from
	// every entry every 3 s would take 467 reads per second; with three candidates per role it takes 4.
	maxCandidates = 3
)

// Options configures a Runner.
type Options struct {
	Table hosting.Table
	// Lease configures the leases. Its Candidate must be unique to this incarnation of the process.
	Lease lease.Config
	// Roles lists the roles to compete for; nil means all.
	Roles []string
	// Rank returns the position of this process among the candidates of a role, starting at 0; nil means always 0.
	Rank func(role string) int
	// Eligible reports whether this process may hold roles; nil means always.
	Eligible func() bool
	Log      zerolog.Logger
	Registry *telemetry.Registry
	// TickInterval is the interval at which leases are checked, and TableTimeout limits one table call. 0 selects the
	// default.
	TickInterval time.Duration
	TableTimeout time.Duration
}

func (o *Options) setDefaults() {
	if o.Roles == nil {
		o.Roles = All()
	}
	if o.Rank == nil {
		o.Rank = func(string) int { return 0 }
	}
	if o.Eligible == nil {
		o.Eligible = func() bool { return true }
	}
	if o.Registry == nil {
		o.Registry = telemetry.NewRegistry()
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.TableTimeout == 0 {
		o.TableTimeout = defaultTableTimeout
	}
}
