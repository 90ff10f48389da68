package entry

import (
	"context"
	"math/rand"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Entry serves the caller port.
type Entry struct {
	settings      Settings
	log           zerolog.Logger
	metrics       *entryMetrics
	tracer        *telemetry.Tracer
	config        Config
	fleet         *Fleet
	client        AgentClient
	gate          *Gate
	quota         Quota
	claims        Claims
	usage         UsageRetainer
	trainers      http.Handler
	now           func() time.Time
	keys          *keyIndex
	retries       *retrier
	explanations  *explanationStore
	requests      requestLimiter
	groups        GroupSink
	liveSamples   *liveSampleStore
	refusedDemand refusedDemand
	keyUse        keyUse
	leaving       atomic.Bool
}

// New returns an entry. Run must be called to drive its timers.
func New(o Options) *Entry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Tracer == nil {
		o.Tracer = telemetry.NopTracer()
	}
	if o.Registry == nil {
		o.Registry = telemetry.NewRegistry()
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewSource(o.Now().UnixNano()))
	}
	e := &Entry{
		settings: o.Settings, log: o.Log, tracer: o.Tracer, config: o.Config, fleet: o.Fleet, groups: o.Groups, client: o.Client,
		gate: NewGate(o.Settings, o.Random, o.Now), quota: o.Quota, claims: o.Claims, usage: o.Usage,
		now: o.Now, keys: newKeyIndex(), retries: newRetrier(o.Settings, o.Now()),
		explanations: newExplanationStore(), requests: requestLimiter{limit: o.Settings.MaxRequests},
	}
	e.metrics = newEntryMetrics(o.Registry, e)
	e.liveSamples = newLiveSampleStore(o.Groups, o.Settings.SampleBufferBytes, e.metrics, o.Log)
	if o.Trainers != nil {
		e.trainers = o.Trainers(e)
	}
	e.config.Subscribe(e.onConfigChange)
	return e
}

// Run drives the timers of the entry until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.gate.Run(ctx)
	e.watchIsolation(ctx)
}

// Close stops storing live samples. Call it after InProgress has returned zero for both counts.
func (e *Entry) Close() { e.liveSamples.cancel() }

// Leave makes the entry refuse new requests; requests in progress continue.
func (e *Entry) Leave() { e.leaving.Store(true) }

// InProgress returns the number of requests in progress and the number of completed groups that are not durable yet.
func (e *Entry) InProgress() (requests, groups int) {
	return e.requests.inProgress(), e.liveSamples.pending()
}

// retainUsage keeps a copy of the usage record until the agent reports it as durable.
func (e *Entry) retainUsage(j *job, result dataplane.Result) {
	if e.usage != nil && result.UsageSeq > 0 {
		e.usage.Retain(j.id, j.workspace, j.destination.name, result, e.now())
	}
}

// newID returns a random request id, so that callers cannot guess the ids of other callers.
func newID() string { return uuid.NewString() }
