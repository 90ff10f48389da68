package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// shutdownTimeout limits the time that a graceful shutdown waits for open calls.
const shutdownTimeout = 2 * time.Second

// Server serves the platform stand-in over HTTP.
type Server struct {
	// Memory is the platform that is served.
	Memory *memory.Platform

	log     zerolog.Logger
	handler http.Handler
}

// NewServer returns a Server with an in-memory platform that is configured by s.
func NewServer(s Settings, log zerolog.Logger) *Server {
	mem := memory.New(memory.Options{
		CheckTerms: s.CheckTerms, HostLag: s.HostLag.D(), Hosts: s.Hosts, WeightBytesPerSecond: s.WeightBytesPerSecond,
	})
	mux := http.NewServeMux()
	mux.Handle("/", httpapi.NewHandler(mem.Services()))
	newAdmin(mem).register(mux)
	newTraceReceiver().register(mux)
	return &Server{Memory: mem, log: log, handler: mux}
}

// Handler returns the HTTP handler of the platform, the admin interface and the trace receiver.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve accepts connections on listener until ctx ends, and then shuts the server down.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := httpapi.NewServer(s.handler)
	s.log.Info().Str("address", listener.Addr().String()).Msg("listening")
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		_ = server.Close() // abort the calls that are still open
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
