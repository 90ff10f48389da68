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

// UsageRetainer keeps the usage record of a finished request until its agent reports it as durable.
type UsageRetainer interface {
	Retain(request, workspace, policy string, result dataplane.Result, now time.Time)
}

// Options are the dependencies of an Entry. Optional dependencies may be nil.
type Options struct {
	Settings Settings
	Log      zerolog.Logger
	Registry *telemetry.Registry
	Tracer   *telemetry.Tracer
	Config   Config
	Fleet    *Fleet
	Client   AgentClient
	// Random adds jitter to retry times. Only the gate uses it.
	Random *rand.Rand
	// Quota is optional; without it workspaces have no token limit.
	Quota Quota
	// Claims is optional; without it requests with an Idempotency-Key on non-idempotent routes are refused "not run".
	Claims Claims
	// Groups is optional; without it rollout groups are refused "not run".
	Groups GroupSink
	// Usage is optional; without it the entry keeps no copies of usage records.
	Usage UsageRetainer
	// Trainers is optional. It returns the handler of /v1/trainers, which authenticates with TrainerAuth of the entry.
	Trainers func(e *Entry) http.Handler
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}
