package main

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/telemetry"
)

const programName = "radishshelf-entry"

func program() command.Program {
	return command.NewDaemon(command.Daemon[entry.Settings]{
		Name: programName, Short: "Entry for callers: authentication, admission, routing, samples and configuration",
		Defaults: entry.DefaultSettings, Run: run,
	})
}

func run(ctx context.Context, s entry.Settings, log zerolog.Logger) error {
	tracer, stop, err := telemetry.StartTracing(ctx, log, s.TraceAddress, programName, s.Name)
	if err != nil {
		return err
	}
	defer stop()
	p, err := newProcess(s, log.With().Str("entry", s.Name).Logger(), tracer)
	if err != nil {
		return err
	}
	return p.serve(ctx)
}
