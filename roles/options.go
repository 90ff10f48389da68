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
	// rankDelay spaces the candidates of a free role, so that the preferred one is not raced by the others.
	rankDelay = 2 * time.Second
	// maxCandidates bounds the processes that read a lease row. With 350 entries and four roles, all of them reading
	// every 3 s would take 467 reads a second; three candidates a role take 4.
	maxCandidates = 3
)

// Options configures a Runner.
type Options struct {
	Table hosting.Table
	// Lease is the timing; its Candidate must be unique to this incarnation of the process.
	Lease lease.Config
	// Roles to run for; nil means all.
	Roles []string
	// Rank returns the position of this process among the candidates of a role, from 0; nil means 0.
	Rank func(role string) int
	// Eligible reports whether this process may take roles; nil means always.
	Eligible func() bool
	Log      zerolog.Logger
	Registry *telemetry.Registry
	// TickInterval and TableTimeout default when 0.
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
