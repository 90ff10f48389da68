package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Limits of the port.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Program is the command line of standin-engine.
func Program() command.Program {
	return command.Program{
		Name: "standin-engine", Short: "Stand-in model engine for tests and the quick start",
		Check: func(path string) error {
			s := Defaults()
			return settings.LoadFile(path, &s)
		},
		Run: run,
	}
}

func run(ctx context.Context, path, logLevel string) error {
	s := Defaults()
	if err := settings.LoadFile(path, &s); err != nil {
		return err
	}
	if logLevel == "" {
		logLevel = s.LogLevel
	}
	logger, err := logging.New(os.Stderr, "standin-engine", logLevel)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	telemetry.LogErrors(logger)
	tracer, err := telemetry.NewTracer(ctx, s.TraceAddress, "standin-engine", s.Address)
	if err != nil {
		return err
	}
	defer func() { _ = tracer.Shutdown(context.Background()) }()
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
