package service

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
)

// Limits of the port.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Program is the command line of standin-service.
func Program() command.Program {
	return command.Program{
		Name: "standin-service", Short: "Stand-in plain service for tests and the quick start",
		Check: func(path string) error { return settings.LoadFile(path, &Settings{}) },
		Run:   run,
	}
}

func run(ctx context.Context, path, logLevel string) error {
	var s Settings
	if err := settings.LoadFile(path, &s); err != nil {
		return err
	}
	if logLevel == "" {
		logLevel = s.LogLevel
	}
	logger, err := logging.New(os.Stderr, "standin-service", logLevel)
	if err != nil {
		return err
	}
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
