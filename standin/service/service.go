// Package service implements a stand-in plain service for tests and the quick start: an idempotent fare lookup,
// bookings that must not be executed twice, and a scoring call. It supports fault injection and records its executions.
package service

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/standin/arrivals"
)

// Service simulates a plain service. Its methods may be called concurrently.
type Service struct {
	settings Settings
	logger   zerolog.Logger
	exit     func(code int)
	arrivals *arrivals.Recorder

	mu         sync.Mutex
	faults     Faults
	executions Executions
}

// Options hold the dependencies of a Service on its process.
type Options struct {
	Logger zerolog.Logger
	// Exit terminates the process; os.Exit when nil.
	Exit func(code int)
}

// New returns a Service in the state of a newly started process.
func New(s Settings, o Options) *Service {
	if s.StartCount == 0 {
		s.StartCount = time.Now().UnixNano()
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	return &Service{
		settings: s, logger: o.Logger, exit: o.Exit, arrivals: &arrivals.Recorder{},
		faults:     Faults{Delay: s.Delay, CrashMarker: s.CrashMarker},
		executions: Executions{Bookings: map[string]int{}, RequestIDs: []string{}},
	}
}

// Handler returns the HTTP handler of all calls, including the admin interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fares/{from}/{to}", s.serveFare)
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("POST /score", s.serveScore)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	s.routeAdmin(mux)
	return s.arrivals.Middleware(s.withFaults(mux))
}
