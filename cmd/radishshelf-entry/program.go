package main

import (
	"context"
	"os"
	"time"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	programName = "radishshelf-entry"
	// traceShutdown bounds the export of the last spans.
	traceShutdown = 5 * time.Second
)

func program() command.Program {
	return command.Program{
		Name: programName, Short: "Entry for callers: authentication, admission, routing, samples and configuration",
		Check: func(path string) error {
			s := entry.DefaultSettings()
			return settings.LoadFile(path, &s)
		},
		Run: run,
	}
}

func run(ctx context.Context, path, logLevel string) error {
	s := entry.DefaultSettings()
	if err := settings.LoadFile(path, &s); err != nil {
		return err
	}
	if logLevel == "" {
		logLevel = s.LogLevel
	}
	logger, err := logging.New(os.Stderr, programName, logLevel)
	if err != nil {
		return err
	}
	telemetry.LogErrors(logger)
	tracer, err := telemetry.NewTracer(ctx, s.TraceAddress, programName, s.Name)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceShutdown)
		defer cancel()
		_ = tracer.Shutdown(ctx)
	}()
	p, err := newProcess(s, logger.With().Str("entry", s.Name).Logger(), tracer)
	if err != nil {
		return err
	}
	return p.serve(ctx)
}
