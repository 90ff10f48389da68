// Package agent is the process beside each upstream. It is the only sender to that upstream: it admits or refuses
// requests, labels answers with weight versions, counts usage, checks the fencing of orders, and reports to the entries.
package agent

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

// maxExtraHandlers is how many requests may read their body beyond those that the queue can hold.
const maxExtraHandlers = 64

// Flusher makes recorded usage durable.
type Flusher interface {
	Flush(ctx context.Context) error
}

// Options hold what an Agent uses.
type Options struct {
	Logger   zerolog.Logger
	Registry *telemetry.Registry
	Tracer   *telemetry.Tracer
	// Recorder counts usage under Incarnation; Flusher makes its records durable.
	Recorder *usage.Recorder
	Flusher  Flusher
	// Incarnation names this run of the process; NewIncarnation makes one.
	Incarnation string
}

// NewIncarnation returns a name that no other run of the agent has.
func NewIncarnation() string { return uuid.NewString() }

// Agent stands beside one upstream.
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
	// heartbeatTrigger asks for a heartbeat before the next tick.
	heartbeatTrigger chan struct{}
}

// Addresses are those that the ports are bound to.
type Addresses struct {
	Data, Control, Status string
}

// New returns an agent that does not serve yet. The credential file is read once.
func New(s Settings, o Options) (*Agent, error) {
	secret, err := fleetauth.LoadCredential(s.CredentialFile)
	if err != nil {
		return nil, err
	}
	if o.Tracer == nil {
		o.Tracer = telemetry.NopTracer()
	}
	base := strings.TrimSuffix(s.UpstreamURL, "/")
	control := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
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

// Leave refuses new work from now on and tells the entries at once.
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
