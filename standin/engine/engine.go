// Package engine is a stand-in model engine for tests and the quick start. It generates deterministic text at a
// configured rate, labels every chunk with the weights that produced it, and has switchable faults.
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

// Engine is one stand-in engine.
type Engine struct {
	settings Settings
	logger   zerolog.Logger
	// exit ends the process; tests replace it.
	exit func(code int)

	weights *weights
	slots   *slots
	cache   *prefixCache
	status  *lagged
	tracer  *telemetry.Tracer
	seen    *arrivals.Recorder
	faults  *faults

	mu         sync.Mutex
	executions []string
}

// Options change the parts of an Engine that touch the process.
type Options struct {
	Logger zerolog.Logger
	// Tracer is optional.
	Tracer *telemetry.Tracer
	// Exit replaces os.Exit.
	Exit func(code int)
}

// New returns an engine that has just started.
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
		seen: &arrivals.Recorder{}, faults: &faults{crashMarker: s.CrashMarker},
	}
	e.status = newLagged(s.StatusLag.D(), e.currentStatus)
	return e
}

// Handler serves all calls of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.routeChat(mux)
	e.routeControl(mux)
	e.routeAdmin(mux)
	return e.seen.Middleware(mux)
}

// Restart loses all state but the settings, as a crash and a new start would, and breaks running requests.
func (e *Engine) Restart() {
	e.weights.restart(e.settings)
	e.cache.clear()
}

// Executions returns the ids of the requests that started to run.
func (e *Engine) Executions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.executions...)
}

func (e *Engine) countExecution(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions = append(e.executions, id)
}
