// Package engine implements a stand-in model engine for tests and the quick start. It generates deterministic text at a
// configured rate, labels every chunk with the weight version that produced it, and supports fault injection.
package engine

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/standin/arrivals"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Engine simulates a model engine. Its methods may be called concurrently.
type Engine struct {
	settings Settings
	logger   zerolog.Logger
	// exit terminates the process; tests replace it.
	exit func(code int)

	weights  *weights
	slots    *slots
	cache    *prefixCache
	status   *laggedStatus
	tracer   *telemetry.Tracer
	arrivals *arrivals.Recorder
	faults   *faultState

	mu         sync.Mutex
	executions []string
}

// Options hold the dependencies of an Engine on its process.
type Options struct {
	Logger zerolog.Logger
	// Tracer records spans; tracing is off when it is nil.
	Tracer *telemetry.Tracer
	// Exit terminates the process; os.Exit when nil.
	Exit func(code int)
}

// New returns an Engine in the state of a newly started process.
func New(s Settings, o Options) *Engine {
	if s.StartCount == 0 {
		s.StartCount = time.Now().UnixNano()
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	if o.Tracer == nil {
		o.Tracer = telemetry.NopTracer()
	}
	e := &Engine{
		settings: s, logger: o.Logger, exit: o.Exit, tracer: o.Tracer,
		weights: newWeights(s), slots: newSlots(s.Slots, s.QueueLimit), cache: newPrefixCache(s),
		arrivals: &arrivals.Recorder{}, faults: &faultState{defaultCrashMarker: s.CrashMarker},
	}
	e.status = newLaggedStatus(s.StatusLag.D(), e.currentStatus)
	return e
}

// Handler returns the HTTP handler of the data, control and admin interfaces.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.routeChat(mux)
	e.routeControl(mux)
	e.routeAdmin(mux)
	return e.arrivals.Middleware(mux)
}

// Restart simulates a crash followed by a new start: running requests fail, and the weight and cache state is reset to
// the settings.
func (e *Engine) Restart() {
	e.weights.restart(e.settings)
	e.cache.clear()
}

// Executions returns the IDs of the requests whose execution started, in that order.
func (e *Engine) Executions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.executions...)
}

func (e *Engine) recordExecution(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions = append(e.executions, id)
}
