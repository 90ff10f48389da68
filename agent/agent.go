// Package agent implements the sidecar of an upstream. All requests to the upstream pass through its agent, which
// admits or refuses them, labels responses with weight versions, counts usage, checks the fencing terms of orders, and
// reports to the entries.
package agent

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

// maxExtraHandlers is the number of requests beyond the slots and the queue that may read their bodies at the same
// time.
const maxExtraHandlers = 64

// Flusher makes recorded usage durable.
type Flusher interface {
	Flush(ctx context.Context) error
}

// Options hold the dependencies of an Agent.
type Options struct {
	Logger   zerolog.Logger
	Registry *telemetry.Registry
	Tracer   *telemetry.Tracer
	// Recorder counts usage under Incarnation; Flusher makes the records durable.
	Recorder *usage.Recorder
	Flusher  Flusher
	// Incarnation identifies this process run; see NewIncarnation.
	Incarnation string
}

// NewIncarnation returns a unique identifier for a process run of an agent.
func NewIncarnation() string { return uuid.NewString() }

// Agent is the sidecar of one upstream.
type Agent struct {
	settings    Settings
	incarnation string
	logger      zerolog.Logger
	registry    *telemetry.Registry
	tracer      *telemetry.Tracer
	recorder    *usage.Recorder
	flusher     Flusher
	credential  credential

	admission  *admission
	upstream   *upstream
	engine     engineControl
	versions   *versionTracker
	suspects   *suspects
	meter      *loadMeter
	health     *health
	reconciler *orderReconciler
	entries    *entryList
	cache      *cacheReader
	metrics    *agentMetrics
	handlers   atomic.Int64
	addresses  Addresses
	// heartbeatTrigger requests a heartbeat before the next tick.
	heartbeatTrigger chan struct{}
}

// Addresses are the bound addresses of the ports.
type Addresses struct {
	Data, Control, Status string
}

// New returns an agent that does not serve until Run is called. The credential file is read only here.
func New(s Settings, o Options) (*Agent, error) {
	secret, err := fleetauth.LoadCredential(s.CredentialFile)
	if err != nil {
		return nil, err
	}
	if o.Tracer == nil {
		o.Tracer = telemetry.NopTracer()
	}
	base := strings.TrimSuffix(s.UpstreamURL, "/")
	control := &http.Client{Transport: httpstatus.NewTransport(&http.Transport{DisableKeepAlives: true})}
	a := &Agent{
		settings: s, incarnation: o.Incarnation, logger: o.Logger, registry: o.Registry, tracer: o.Tracer,
		recorder: o.Recorder, flusher: o.Flusher, credential: credential(secret),
		admission: newAdmission(s.Slots, s.QueueLimit), upstream: newUpstream(base),
		engine:   engineControl{base: base, client: control},
		versions: newVersionTracker(), suspects: newSuspects(s.SuspectTime.D()), meter: &loadMeter{}, health: &health{},
		entries: newEntryList(s.Name, s.Entries), heartbeatTrigger: make(chan struct{}, 1),
	}
	a.metrics = newAgentMetrics(o.Registry, a.admission)
	a.reconciler = newOrderReconciler(a)
	a.cache = &cacheReader{engine: a.engine}
	return a, nil
}

// Leave makes the agent refuse new requests and reports this to the entries at once.
func (a *Agent) Leave(reason string) {
	a.admission.markLeaving(reason)
	a.logger.Info().Str("reason", reason).Msg("leaving")
	a.triggerHeartbeat()
}

func (a *Agent) triggerHeartbeat() {
	select {
	case a.heartbeatTrigger <- struct{}{}:
	default:
	}
}

func (a *Agent) maxHandlers() int64 {
	return int64(a.settings.Slots + a.settings.QueueLimit + maxExtraHandlers)
}
