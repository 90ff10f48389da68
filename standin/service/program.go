package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/command"
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Program returns the command-line program standin-service.
func Program() command.Program {
	return command.NewDaemon(command.Daemon[Settings]{
		Name: "standin-service", Short: "Stand-in plain service for tests and the quick start", Run: run,
	})
}

func run(ctx context.Context, s Settings, logger zerolog.Logger) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: New(s, Options{Logger: logger}).Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	defer stop()
	logger.Info().Str("address", listener.Addr().String()).Msg("started")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
