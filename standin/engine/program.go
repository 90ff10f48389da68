package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

const programName = "standin-engine"

// Program returns the command-line program standin-engine.
func Program() command.Program {
	return command.NewDaemon(command.Daemon[Settings]{
		Name: programName, Short: "Stand-in model engine for tests and the quick start", Defaults: Defaults, Run: run,
	})
}

func run(ctx context.Context, s Settings, logger zerolog.Logger) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	tracer, stopTracing, err := telemetry.StartTracing(ctx, logger, s.TraceAddress, programName, s.Address)
	if err != nil {
		return err
	}
	defer stopTracing()
	e := New(s, Options{Logger: logger, Tracer: tracer})
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	defer stop()
	logger.Info().Str("address", listener.Addr().String()).Int64("start_count", e.settings.StartCount).Msg("started")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
