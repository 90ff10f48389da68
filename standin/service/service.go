// Package service is a stand-in plain service for tests and the quick start: an idempotent fare lookup, bookings that
// must not run twice, and a scoring call. It has switchable faults and counts what it executed.
package service

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/standin/arrivals"
)

// Service is one stand-in service.
type Service struct {
	settings Settings
	logger   zerolog.Logger
	exit     func(code int)
	arrivals *arrivals.Recorder

	mu         sync.Mutex
	faults     Faults
	executions Executions
}

// Options change the parts of a Service that touch the process.
type Options struct {
	Logger zerolog.Logger
	// Exit replaces os.Exit.
	Exit func(code int)
}

// New returns a service that has just started.
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

// Handler serves all calls of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fares/{from}/{to}", s.serveFare)
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("POST /score", s.serveScore)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	s.routeAdmin(mux)
	return s.arrivals.Middleware(s.withFaults(mux))
}
