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

// shutdownTimeout bounds the wait for open calls at the end.
const shutdownTimeout = 2 * time.Second

// Server is a running stand-in.
type Server struct {
	Memory *memory.Platform

	log     zerolog.Logger
	handler http.Handler
}

// NewServer returns a stand-in with the given settings.
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

// Handler serves the platform, the admin interface and the trace receiver.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve serves listener until ctx ends.
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
		_ = server.Close() // calls that are still open are cut at the end of the stand-in
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
