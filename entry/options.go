package entry

import (
	"context"
	"math/rand"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/telemetry"
)

// AgentClient sends one attempt to an agent.
type AgentClient interface {
	Do(ctx context.Context, call dataplane.Call) (*dataplane.Response, error)
}

// UsageRetainer keeps the record of a finished request until its agent reports it as durable.
type UsageRetainer interface {
	Retain(request, workspace, policy string, result dataplane.Result, now time.Time)
}

// Options are the parts that an Entry is built from. Optional parts may be nil.
type Options struct {
	Settings Settings
	Log      zerolog.Logger
	Registry *telemetry.Registry
	Tracer   *telemetry.Tracer
	Config   Config
	Fleet    *Fleet
	Client   AgentClient
	// Random spreads retries; it is used by the gate only.
	Random *rand.Rand
	// Quota is optional; without it workspaces are not limited.
	Quota Quota
	// Claims is optional; without it requests with an Idempotency-Key on non-idempotent routes are refused "not run".
	Claims Claims
	// Groups is optional; without it rollout groups are refused "not run".
	Groups GroupSink
	// Usage is optional.
	Usage UsageRetainer
	// Trainers returns the handler of /v1/trainers/, which authenticates with TrainerAuth of the entry; optional.
	Trainers func(e *Entry) http.Handler
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}
